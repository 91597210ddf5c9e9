import type { IncomingHttpHeaders } from "node:http";
import { Readable } from "node:stream";
import { paceChunks } from "../attempt/paceChunks.js";
import type { StoredAnswer } from "../keyed/StoredAnswer.js";
import { estimateHeadBytes } from "../read/estimateHeadBytes.js";
import { forwardHeaders } from "../read/forwardHeaders.js";
import { HEADERS } from "../read/HEADERS.js";
import { pipeBody } from "../read/pipeBody.js";
import type { AnswerHeaders } from "./AnswerHeaders.js";
import type { EntryProblem } from "./EntryProblem.js";
import type { EntryReply } from "./EntryReply.js";
import type { ReplyWriter } from "./ReplyWriter.js";

const RETRY_AFTER_SECONDS = 1;

const STATUS_OK = 200;

const writeHead = async (writer: ReplyWriter, status: number, headers: AnswerHeaders): Promise<void> => {
    const all = { ...headers, ...writer.headers };
    await writer.take?.(estimateHeadBytes(all));
    writer.res.writeHead(status, all as Record<string, string | string[]>);
};

const writeStored = async (writer: ReplyWriter, answer: StoredAnswer, isReplay: boolean): Promise<void> => {
    const body = answer.body ?? Buffer.alloc(0);
    const { "content-length": length, ...headers } = answer.headers;
    void length;
    const replayed: AnswerHeaders = isReplay ? { "gypsumstage-replayed": "yes" } : {};
    await writeHead(writer, answer.status, {
        ...headers,
        ...replayed,
        "content-length": String(body.length),
        [HEADERS.outcome]: "served",
    });
    await writer.take?.(body.length);
    writer.res.end(body);
};

const writeProblem = async (writer: ReplyWriter, problem: EntryProblem): Promise<void> => {
    const text = JSON.stringify({
        error: { kind: problem.kind, reason: problem.reason, outcome: problem.outcome },
    });
    const isWorthRepeating = problem.outcome === "not-run" && problem.status >= 500;
    const retry: AnswerHeaders = isWorthRepeating ? { "retry-after": String(RETRY_AFTER_SECONDS) } : {};
    await writeHead(writer, problem.status, {
        ...retry,
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(text)),
        [HEADERS.outcome]: problem.outcome,
        [HEADERS.reason]: problem.reason.replaceAll(/[^\x20-\x7e]/g, " "),
    });
    writer.res.end(text);
};

/**
 * Writes a reply. When the body of an answer breaks off, the connection is destroyed, so that the receiver cannot
 * take the answer for complete.
 *
 * @param writer - where and how to write
 * @param reply - the reply
 * @returns false when the reply did not reach its end
 */
export const writeReply = async (writer: ReplyWriter, reply: EntryReply): Promise<boolean> => {
    const { res, take } = writer;
    try {
        switch (reply.kind) {
            case "problem":
                await writeProblem(writer, reply.problem);
                return true;
            case "stored":
                await writeStored(writer, reply.answer, reply.isReplay);
                return true;
            case "answer": {
                const { answer } = reply;
                const headers = forwardHeaders(answer.headers as IncomingHttpHeaders);
                await writeHead(writer, answer.status < STATUS_OK ? STATUS_OK : answer.status, {
                    ...headers,
                    [HEADERS.outcome]: "served",
                });
                const body = take === undefined ? answer.body : Readable.from(paceChunks(answer.body, take));
                await pipeBody(body, res);
                return true;
            }
        }
    }
    catch {
        if (reply.kind === "answer") {
            reply.answer.body.destroy();
        }
        res.destroy();
        return false;
    }
};
