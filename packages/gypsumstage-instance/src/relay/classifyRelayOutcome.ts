import type { FinishedAttempt } from "../request/FinishedAttempt.js";
import type { Reply } from "../request/Reply.js";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";
import { readRelayReply } from "./readRelayReply.js";

/** Reasons for which an instance refuses a request that another one may serve at once. */
const OTHER_INSTANCE_REASONS: readonly string[] = [
    "no-endpoint",
    "leaving",
    "starting",
    "policy-behind",
    "key-unconfirmed",
];
const STATUS_INTERNAL_SERVER_ERROR = 500;

type RelayResult = Pick<FinishedAttempt, "classification" | "reply" | "wasSent">;

const classifyReply = (reply: Reply): RelayResult => {
    switch (reply.kind) {
        case "relayed":
            return {
                classification: { kind: "final", isError: reply.status >= STATUS_INTERNAL_SERVER_ERROR },
                reply,
                wasSent: true,
            };
        case "rejected":
            return { classification: { kind: "final", isError: false }, reply, wasSent: false };
        case "refused": {
            const classification = { kind: "not-run", reason: reply.reason } as const;
            return OTHER_INSTANCE_REASONS.includes(reply.reason)
                ? { classification, wasSent: false }
                : { classification, reply, wasSent: false };
        }
        case "failed":
            return { classification: { kind: "unknown", reason: reply.reason }, reply, wasSent: true };
        case "abandoned":
            return { classification: { kind: "unknown", reason: "relay-abandoned" }, wasSent: true };
    }
};

/**
 * Classifies what came of a request that was passed on to another instance. Its word counts like that of an endpoint: a refused
 * request has not run, and one without a reply may have.
 *
 * @param outcome - the outcome of sending the request
 * @returns the classification; with the reply, when that instance has decided it for good
 */
export const classifyRelayOutcome = (outcome: AttemptOutcome): RelayResult => {
    switch (outcome.kind) {
        case "answered": {
            const reply = readRelayReply(outcome);
            return reply === undefined
                ? { classification: { kind: "unknown", reason: "relay-malformed" }, wasSent: true }
                : classifyReply(reply);
        }
        case "not-sent":
            return { classification: { kind: "not-run", reason: outcome.reason }, wasSent: false };
        case "broken":
            return { classification: { kind: "unknown", reason: outcome.reason }, wasSent: true };
        case "aborted":
            return {
                classification: { kind: outcome.wasSent ? "unknown" : "not-run", reason: "given-up" },
                wasSent: outcome.wasSent,
            };
    }
};
