import type { Outcome } from "@gypsumstage/domain/Outcome";
import type { EntryProblem } from "./EntryProblem.js";
import type { EntryReply } from "./EntryReply.js";

const STATUS: Readonly<Record<EntryProblem["kind"], number>> = {
    "no-configuration": 503,
    "route-unknown": 404,
    "header-invalid": 400,
    "key-required": 400,
    "key-mismatch": 422,
    "key-from-the-future": 400,
    "key-too-old": 504,
    "key-table-full": 503,
    "key-home-lost": 504,
    "key-claim-failed": 503,
    "answer-not-kept": 409,
    "no-capacity": 503,
    "deadline-passed": 504,
    "upstream-failed": 504,
    "internal-error": 500,
};

/**
 * Makes the reply for a request that got no answer of an upstream.
 *
 * @param kind - what went wrong
 * @param outcome - what is known about whether the request ran
 * @param reason - for people
 * @returns the reply
 */
export const createProblem = (kind: EntryProblem["kind"], outcome: Outcome, reason: string): EntryReply => ({
    kind: "problem",
    problem: { kind, status: STATUS[kind], outcome, reason },
});
