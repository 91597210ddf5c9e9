import type { IncomingHttpHeaders } from "node:http";
import type { AnswerHeaders } from "./AnswerHeaders.js";

const HOP_BY_HOP: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "traceparent",
    "tracestate",
]);
const OWN_PREFIX = "gypsumstage-";

const listConnectionNames = (connection: string | readonly string[] | undefined): readonly string[] =>
    connection === undefined || connection === "keep-alive" || connection === "close"
        ? []
        : [connection].flat().join(",").split(",").map(name => name.trim().toLowerCase());

/**
 * Takes the header fields that travel on with a message: those that concern one connection stay behind, and so do
 * the system's own, which a sender must not forge.
 *
 * @param headers - the fields received
 * @returns the fields to send on
 */
export const forwardHeaders = (headers: IncomingHttpHeaders): AnswerHeaders => {
    const dropped = new Set(listConnectionNames(headers.connection));
    const kept: Record<string, string | readonly string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const isKept = !HOP_BY_HOP.has(name) && !dropped.has(name) && !name.startsWith(OWN_PREFIX);
        if (isKept && value !== undefined) {
            kept[name] = value;
        }
    }
    return kept;
};
