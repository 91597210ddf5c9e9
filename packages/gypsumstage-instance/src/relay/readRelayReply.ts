import type { Reply } from "../request/Reply.js";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";
import { RELAY_HEADERS } from "./RELAY_HEADERS.js";

const STATUS_OVER_CAP = 429;
const STATUS_TIMEOUT = 504;

const readText = (value: string | readonly string[] | undefined): string =>
    typeof value === "string" ? value : "";

/**
 * Reads the reply of the instance to which a request was passed on.
 *
 * @param outcome - its complete response
 * @returns the reply; undefined when the response is not one of an instance
 */
export const readRelayReply = (
    outcome: Extract<AttemptOutcome, { readonly kind: "answered"; }>,
): Reply | undefined => {
    const { status, headers, body } = outcome;
    const reason = readText(headers[RELAY_HEADERS.reason]);
    switch (headers[RELAY_HEADERS.replyKind]) {
        case "relayed": {
            const own = new Set<string>(Object.values(RELAY_HEADERS));
            const endpointHeaders = Object.fromEntries(
                Object.entries(headers).filter(([name]) => !own.has(name)),
            );
            const isEndStated = outcome.isEndStated && headers[RELAY_HEADERS.isEndStated] !== "0";
            return { kind: "relayed", status, headers: endpointHeaders, body, isEndStated };
        }
        case "refused":
            return {
                kind: "refused",
                reason,
                retryAfterMs: Number(readText(headers[RELAY_HEADERS.retryAfterMs])),
                ...(status === STATUS_OVER_CAP ? { status } : {}),
            };
        case "failed":
            return { kind: "failed", reason, isTimeout: status === STATUS_TIMEOUT };
        case "rejected":
            return { kind: "rejected", reason, status };
        default:
            return undefined;
    }
};
