import type { Attempt } from "../attempt/Attempt.js";
import type { Exchange } from "../read/Exchange.js";
import { createProblem } from "./createProblem.js";
import type { EntryReply } from "./EntryReply.js";

/**
 * Turns the last attempt of a request into the reply. `not-run` is told only when no attempt can have run.
 *
 * @param attempt - what is known of it
 * @param exchange - the request
 * @returns the reply
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
