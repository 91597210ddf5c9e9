import type { RequestOutcome } from "@gypsumstage/domain/RequestOutcome";
import type { EntryProblem } from "./EntryProblem.js";
import type { EntryReply } from "./EntryReply.js";

const STATUS_BY_KIND: Readonly<Record<EntryProblem["kind"], number>> = {
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
 * Creates a reply with an error, in place of a response of an endpoint.
 *
 * @param kind - kind of error, which determines the HTTP status
 * @param outcome - whether the request ran; `unknown` when it may have run
 * @param reason - description for a human reader
 * @returns the reply
 */
export const createProblemReply = (
    kind: EntryProblem["kind"],
    outcome: RequestOutcome,
    reason: string,
): EntryReply => ({
    kind: "problem",
    problem: { kind, status: STATUS_BY_KIND[kind], outcome, reason },
});
