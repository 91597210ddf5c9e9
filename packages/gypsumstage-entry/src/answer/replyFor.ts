import type { Attempt } from "../attempt/Attempt.js";
import type { Exchange } from "../read/Exchange.js";
import { createProblem } from "./createProblem.js";
import type { EntryReply } from "./EntryReply.js";

/**
 * Converts the combined result of a request's attempts into a reply. The outcome `not-run` is returned only when none
 * of the attempts can have run.
 *
 * @param attempt - the combined result
 * @param exchange - the request; an aborted signal makes an error a `deadline-passed`
 * @returns the response of the endpoint, or an error reply
 */
export const replyFor = (attempt: Attempt, exchange: Exchange): EntryReply => {
    switch (attempt.kind) {
        case "answered":
            return { kind: "answer", answer: attempt };
        case "refused":
        case "not-sent":
            return exchange.signal.aborted
                ? createProblem("deadline-passed", "not-run", attempt.reason)
                : createProblem("no-capacity", "not-run", attempt.reason);
        case "unknown":
            return exchange.signal.aborted
                ? createProblem("deadline-passed", "unknown", attempt.reason)
                : createProblem("upstream-failed", "unknown", attempt.reason);
    }
};
