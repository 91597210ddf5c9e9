import type { AttemptResult } from "../attempt/AttemptResult.js";
import type { Exchange } from "../read/Exchange.js";
import { createProblemReply } from "./createProblemReply.js";
import type { EntryReply } from "./EntryReply.js";

/**
 * Converts the combined result of a request's attempts into a reply. The outcome `not-run` is returned only when none
 * of the attempts can have run.
 *
 * @param attempt - the combined result
 * @param exchange - the request; an aborted signal makes an error a `deadline-passed`
 * @returns the response of the endpoint, or an error reply
 */
export const toReply = (attempt: AttemptResult, exchange: Exchange): EntryReply => {
    switch (attempt.kind) {
        case "answered":
            return { kind: "answer", answer: attempt };
        case "refused":
        case "not-sent":
            return exchange.signal.aborted
                ? createProblemReply("deadline-passed", "not-run", attempt.reason)
                : createProblemReply("no-capacity", "not-run", attempt.reason);
        case "unknown":
            return exchange.signal.aborted
                ? createProblemReply("deadline-passed", "unknown", attempt.reason)
                : createProblemReply("upstream-failed", "unknown", attempt.reason);
    }
};
