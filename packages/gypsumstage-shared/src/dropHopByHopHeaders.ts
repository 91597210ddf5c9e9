import type { IncomingHttpHeaders } from "node:http";

const HOP_BY_HOP_NAMES: ReadonlySet<string> = new Set([
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
]);

const listConnectionOptions = (connection: string | readonly string[] | undefined): readonly string[] =>
    connection === undefined || connection === "keep-alive" || connection === "close"
        ? []
        : [connection].flat().join(",").split(",").map(name => name.trim().toLowerCase());

/**
 * Removes the hop-by-hop header fields of a message, including those that its `connection` field lists.
 *
 * @param headers - the received fields, with names in lower case
 * @returns the fields that may be forwarded
 */
export const dropHopByHopHeaders = (
    headers: IncomingHttpHeaders,
): Readonly<Record<string, string | readonly string[]>> => {
    const connectionOptions = new Set(listConnectionOptions(headers.connection));
    const forwarded: Record<string, string | readonly string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !HOP_BY_HOP_NAMES.has(name) && !connectionOptions.has(name)) {
            forwarded[name] = value;
        }
    }
    return forwarded;
};
