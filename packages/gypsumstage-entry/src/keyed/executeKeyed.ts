import { describeError } from "@gypsumstage/shared/describeError";
import type { IncomingHttpHeaders } from "node:http";
import { PassThrough, pipeline } from "node:stream";
import type { AnsweredAttempt } from "../attempt/AnsweredAttempt.js";
import type { AttemptResult } from "../attempt/AttemptResult.js";
import { runAttempts } from "../attempt/runAttempts.js";
import type { EntryContext } from "../EntryContext.js";
import { collectBody } from "../read/collectBody.js";
import type { Exchange } from "../read/Exchange.js";
import { selectForwardedHeaders } from "../read/selectForwardedHeaders.js";
import { createProblemReply } from "../reply/createProblemReply.js";
import type { EntryReply } from "../reply/EntryReply.js";
import { toReply } from "../reply/toReply.js";
import { MAX_STORED_RESPONSE_BYTES } from "./MAX_STORED_RESPONSE_BYTES.js";
import type { StoredResponse } from "./StoredResponse.js";

const settleWithResponse = async (
    context: EntryContext,
    key: string,
    res: AnsweredAttempt,
): Promise<EntryReply> => {
    const headers = selectForwardedHeaders(res.headers as IncomingHttpHeaders);
    const collected = await collectBody(res.body, MAX_STORED_RESPONSE_BYTES);
    switch (collected.kind) {
        case "complete": {
            const stored: StoredResponse = { status: res.status, headers, body: collected.body };
            context.keyTable.settle(key, { kind: "served", answer: stored });
            return { kind: "stored", answer: stored, isReplay: false };
        }
        case "too-large": {
            context.keyTable.settle(key, {
                kind: "served",
                answer: { status: res.status, headers, body: undefined },
            });
            const completeBody = new PassThrough();
            completeBody.write(collected.start);
            pipeline(res.body, completeBody, () => undefined);
            return { kind: "answer", answer: { ...res, body: completeBody } };
        }
        case "failed":
            context.keyTable.settle(key, { kind: "unknown" });
            return createProblemReply("upstream-failed", "unknown", collected.reason);
    }
};

/**
 * Runs a request for which `KeyTable.begin` returned `execute`, and settles its key in every case, also after an error.
 *
 * @param context - the key table, and the modules that make attempts
 * @param exchange - the request
 * @param key - the idempotency key of the request
 * @returns the reply to the caller
 */
export const executeKeyed = async (
    context: EntryContext,
    exchange: Exchange,
    key: string,
): Promise<EntryReply> => {
    let attempt: AttemptResult;
    try {
        attempt = await runAttempts(context, exchange);
    }
    catch (err) {
        context.keyTable.settle(key, { kind: "unknown" });
        context.log("error", "attempt-failed", { reason: describeError(err) });
        return createProblemReply("internal-error", "unknown", describeError(err));
    }
    if (attempt.kind === "answered") {
        return settleWithResponse(context, key, attempt);
    }
    context.keyTable.settle(key, { kind: attempt.kind === "unknown" ? "unknown" : "not-run" });
    return toReply(attempt, exchange);
};
