import { dropHopByHopHeaders } from "@gypsumstage/shared/dropHopByHopHeaders";
import { hasNoBody } from "@gypsumstage/shared/hasNoBody";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { ResponseMemory } from "../upstream/ResponseMemory.js";
import type { Reply } from "./Reply.js";
import { sendBody } from "./sendBody.js";

const STATUS_REFUSED = 503;
const STATUS_FAILED = 502;
const STATUS_TIMEOUT = 504;
const MS_PER_SECOND = 1_000;

const writeError = (
    res: ServerResponse,
    status: number,
    reason: string,
    headers: OutgoingHttpHeaders,
): void => {
    const body = Buffer.from(JSON.stringify({ error: { reason } }));
    res.writeHead(status, {
        "content-type": "application/json",
        "content-length": body.length,
        ...headers,
    });
    res.end(body);
};

/**
 * Writes the reply to a caller.
 *
 * @param res - the response, to which nothing has been written yet
 * @param reply - the reply; for `abandoned` the connection is destroyed
 * @param memory - memory that all responses share
 * @param isClosing - true when the connection is to be closed after this reply
 * @param extraHeaders - header fields that are added to the reply
 */
export const writeReply = (
    res: ServerResponse,
    reply: Reply,
    memory: Pick<ResponseMemory, "hold">,
    isClosing: boolean,
    extraHeaders: OutgoingHttpHeaders = {},
): void => {
    const added: OutgoingHttpHeaders = isClosing ? { ...extraHeaders, connection: "close" } : extraHeaders;
    switch (reply.kind) {
        case "relayed": {
            const headers = { ...dropHopByHopHeaders(reply.headers) } as OutgoingHttpHeaders;
            if (hasNoBody(res.req.method, reply.status)) {
                res.writeHead(reply.status, { ...headers, ...added }).end();
                return;
            }
            // The whole body is there. Without its length, a part of it would look complete if this process ended.
            res.writeHead(reply.status, { ...headers, "content-length": reply.body.length, ...added });
            sendBody(res, reply.body, memory);
            return;
        }
        case "refused": {
            const retryAfter = (reply.retryAfterMs / MS_PER_SECOND).toFixed(2);
            writeError(res, reply.status ?? STATUS_REFUSED, reply.reason, {
                ...added,
                "retry-after": retryAfter,
            });
            return;
        }
        case "failed":
            writeError(res, reply.isTimeout ? STATUS_TIMEOUT : STATUS_FAILED, reply.reason, added);
            return;
        case "rejected":
            writeError(res, reply.status, reply.reason, added);
            return;
        case "abandoned":
            res.destroy();
    }
};
