import { findHeadFault } from "@gypsumstage/shared/findHeadFault";
import { trackDeliveries } from "@gypsumstage/shared/trackDeliveries";
import Fastify, { type FastifyInstance } from "fastify";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { HEADERS } from "./read/HEADERS.js";
import type { RequestHandler } from "./RequestHandler.js";

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
/** Longer than the idle timeout of the HTTP clients of callers and other entries, so that the client closes first. */
const KEEP_ALIVE_TIMEOUT_MS = 15_000;

const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};

const STATUS_BAD_REQUEST = 400;

const createErrorBody = (reason: string): string =>
    JSON.stringify({ error: { kind: "request-malformed", reason, outcome: "not-run" } });

/**
 * Creates the HTTP server of the entry. Request bodies are not parsed; the handler streams them.
 *
 * @param handler - handles each request
 * @param onMalformed - called with the reason when the head of a request is malformed
 * @returns the server, not yet listening
 */
export const createEntryServer = (
    handler: RequestHandler,
    onMalformed: (code: string) => void,
): FastifyInstance => {
    const handleClientError = (err: NodeJS.ErrnoException, socket: Socket): void => {
        const code = err.code ?? "unknown";
        // A client that closes the connection in the middle of a request has not sent a malformed one.
        const isIncomplete = code === "HPE_INVALID_EOF_STATE";
        const isMalformed = (code.startsWith("HPE_") && !isIncomplete)
            || STATUS_BY_ERROR_CODE[code] !== undefined;
        if (!isMalformed || !socket.writable) {
            socket.destroy();
            return;
        }
        onMalformed(code);
        const status = STATUS_BY_ERROR_CODE[code] ?? STATUS_BAD_REQUEST;
        const body = createErrorBody(code);
        socket.end(
            `HTTP/1.1 ${status} Malformed Request\r\ncontent-type: application/json\r\nconnection: close\r\n`
                + `${HEADERS.outcome}: not-run\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
        );
    };
    const refuse = (res: ServerResponse, fault: string): void => {
        res.writeHead(STATUS_BAD_REQUEST, {
            "content-type": "application/json",
            "connection": "close",
            [HEADERS.outcome]: "not-run",
        });
        res.end(createErrorBody(fault));
    };
    const app = Fastify({
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        requestTimeout: 0,
        http: { maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MS },
        clientErrorHandler: handleClientError,
        forceCloseConnections: "idle",
        exposeHeadRoutes: false,
    });
    trackDeliveries(app.server);
    app.removeAllContentTypeParsers();
    app.addContentTypeParser("*", (_req, _payload, done) => done(null)); // eslint-disable-line no-restricted-syntax -- fastify's "no error"
    app.all("/*", (req, reply) => {
        reply.hijack();
        const fault = findHeadFault(req.raw);
        if (fault !== undefined) {
            onMalformed(fault);
            refuse(reply.raw, fault);
            return;
        }
        void handler(req.raw, reply.raw);
    });
    return app;
};
