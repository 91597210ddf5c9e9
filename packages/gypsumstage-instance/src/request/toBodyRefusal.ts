import type { BodyOutcome } from "./BodyOutcome.js";
import type { Reply } from "./Reply.js";

const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_TOO_LARGE = 413;
/** About the time that a large body takes. */
const NO_MEMORY_RETRY_AFTER_MS = 1_000;

/**
 * Returns the reply to a request whose body was not read completely.
 *
 * @param outcome - what became of the body
 * @returns the reply
 */
export const toBodyRefusal = (outcome: Exclude<BodyOutcome, { readonly kind: "read"; }>): Reply => {
    switch (outcome.kind) {
        case "broken-off":
            return { kind: "abandoned" };
        case "too-large":
            return { kind: "rejected", reason: "body-too-large", status: STATUS_TOO_LARGE };
        case "late":
            return { kind: "rejected", reason: "body-late", status: STATUS_REQUEST_TIMEOUT };
        case "no-memory":
            return { kind: "refused", reason: "no-memory", retryAfterMs: NO_MEMORY_RETRY_AFTER_MS };
    }
};
