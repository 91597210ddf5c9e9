import type { IncomingHttpHeaders } from "node:http";
import { Readable } from "node:stream";
import { paceChunks } from "../attempt/paceChunks.js";
import type { StoredResponse } from "../keyed/StoredResponse.js";
import { estimateHeadBytes } from "../read/estimateHeadBytes.js";
import { HEADERS } from "../read/HEADERS.js";
import { pipeBody } from "../read/pipeBody.js";
import { selectForwardedHeaders } from "../read/selectForwardedHeaders.js";
import type { EntryProblem } from "./EntryProblem.js";
import type { EntryReply } from "./EntryReply.js";
import type { HeaderFields } from "./HeaderFields.js";
import type { ReplyTarget } from "./ReplyTarget.js";

const RETRY_AFTER_SECONDS = 1;

const STATUS_OK = 200;

const writeHead = async (target: ReplyTarget, status: number, headers: HeaderFields): Promise<void> => {
    const allHeaders = { ...headers, ...target.headers };
    await target.acquireBytes?.(estimateHeadBytes(allHeaders));
    target.res.writeHead(status, allHeaders as Record<string, string | string[]>);
};

const writeStored = async (target: ReplyTarget, stored: StoredResponse, isReplay: boolean): Promise<void> => {
    const body = stored.body ?? Buffer.alloc(0);
    const { "content-length": length, ...headers } = stored.headers;
    void length;
    const replayHeaders: HeaderFields = isReplay ? { "gypsumstage-replayed": "yes" } : {};
    await writeHead(target, stored.status, {
        ...headers,
        ...replayHeaders,
        "content-length": String(body.length),
        [HEADERS.outcome]: "served",
    });
    await target.acquireBytes?.(body.length);
    target.res.end(body);
};

const writeProblem = async (target: ReplyTarget, problem: EntryProblem): Promise<void> => {
    const body = JSON.stringify({
        error: { kind: problem.kind, reason: problem.reason, outcome: problem.outcome },
    });
    const isRetriable = problem.outcome === "not-run" && problem.status >= 500;
    const retryHeaders: HeaderFields = isRetriable ? { "retry-after": String(RETRY_AFTER_SECONDS) } : {};
    await writeHead(target, problem.status, {
        ...retryHeaders,
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        [HEADERS.outcome]: problem.outcome,
        [HEADERS.reason]: problem.reason.replaceAll(/[^\x20-\x7e]/g, " "),
    });
    target.res.end(body);
};

/**
 * Writes a reply. When the body of an endpoint's response fails, the connection is destroyed, so that the client cannot
 * mistake a truncated body for a complete one.
 *
 * @param target - the server response, with the options for writing to it
 * @param reply - the reply to write
 * @returns false when the reply was not sent completely
 */
export const writeReply = async (target: ReplyTarget, reply: EntryReply): Promise<boolean> => {
    const { res, acquireBytes } = target;
    try {
        switch (reply.kind) {
            case "problem":
                await writeProblem(target, reply.problem);
                return true;
            case "stored":
                await writeStored(target, reply.answer, reply.isReplay);
                return true;
            case "answer": {
                const { answer } = reply;
                const headers = selectForwardedHeaders(answer.headers as IncomingHttpHeaders);
                await writeHead(target, answer.status < STATUS_OK ? STATUS_OK : answer.status, {
                    ...headers,
                    [HEADERS.outcome]: "served",
                });
                const body = acquireBytes === undefined
                    ? answer.body
                    : Readable.from(paceChunks(answer.body, acquireBytes));
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
