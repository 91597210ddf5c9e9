import type { IncomingHttpHeaders } from "node:http";
import * as z from "zod";
import { RELAY_HEADERS } from "./RELAY_HEADERS.js";
import type { RelayedRequest } from "./RelayedRequest.js";

const schema = z.object({
    [RELAY_HEADERS.policyVersion]: z.coerce.number(),
    [RELAY_HEADERS.service]: z.string().min(1),
    [RELAY_HEADERS.attemptsLeft]: z.coerce.number().int().positive(),
    [RELAY_HEADERS.keyDigest]: z.string().optional(),
});

/**
 * Reads what the instance that passed a request on decided about it.
 *
 * @param headers - header fields of the request
 * @returns its decisions; undefined when a field is missing or malformed
 */
export const readRelayedRequest = (headers: IncomingHttpHeaders): RelayedRequest | undefined => {
    const parsed = schema.safeParse(headers);
    const keyDigest = parsed.data?.[RELAY_HEADERS.keyDigest];
    return parsed.success
        ? {
            policyVersion: parsed.data[RELAY_HEADERS.policyVersion],
            service: parsed.data[RELAY_HEADERS.service],
            attemptsLeft: parsed.data[RELAY_HEADERS.attemptsLeft],
            ...(keyDigest === undefined ? {} : { keyDigest }),
        }
        : undefined;
};
