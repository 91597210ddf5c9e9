import type { IncomingMessage } from "node:http";

/**
 * Returns the host that a request names.
 *
 * @param req - the request
 * @returns the host name in lower case, without a port; empty when the request names none
 */
export const getRequestedHost = (req: Pick<IncomingMessage, "headers">): string =>
    (req.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();
