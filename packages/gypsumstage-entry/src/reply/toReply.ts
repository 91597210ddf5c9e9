import type { AttemptResult } from "../attempt/AttemptResult.js";
import type { Exchange } from "../read/Exchange.js";
import { createProblemReply } from "./createProblemReply.js";
import type { EntryReply } from "./EntryReply.js";

/**
 * Converts the combined result of a request's attempts into a reply. The outcome `not-run` is returned only when none
 * of the attempts can have run.
 *
 * @param result - the combined result
 * @param exchange - the request; when its signal is aborted, an error is of kind `deadline-passed`
 * @returns the response of the endpoint, or an error reply
 */
export const toReply = (result: AttemptResult, exchange: Exchange): EntryReply => {
    switch (result.kind) {
        case "answered":
            return { kind: "answer", answer: result };
        case "refused":
        case "not-sent":
            return exchange.signal.aborted
                ? createProblemReply("deadline-passed", "not-run", result.reason)
                : createProblemReply("no-capacity", "not-run", result.reason);
        case "unknown":
            return exchange.signal.aborted
                ? createProblemReply("deadline-passed", "unknown", result.reason)
                : createProblemReply("upstream-failed", "unknown", result.reason);
    }
};
