import type { ClientLimits } from "@gypsumstage/domain/traffic/ClientLimits";
import type { DeliveryTracker } from "@gypsumstage/shared/DeliveryTracker";
import { trackDeliveries } from "@gypsumstage/shared/trackDeliveries";
import { createServer, type Server } from "node:http";
import type { RequestHandler } from "./request/RequestHandler.js";

/** Header size up to which the parser accepts a request; the handler checks the configured limit. */
const MAX_PARSED_HEADER_BYTES = 262_144;
/** Time for which idle connections stay open beyond the configured idle timeout. */
const KEEP_ALIVE_MARGIN_MS = 2_000;

/**
 * Creates the HTTP server for callers' requests. It uses `node:http` directly, because the handler needs the
 * connection's raw events and no routing.
 *
 * @param handle - called with each request; must not reject
 * @returns the server, not yet listening, its responses being delivered, and the function that applies the configured limits
 */
export const createRequestServer = (
    handle: RequestHandler,
): {
    readonly server: Server;
    readonly deliveries: DeliveryTracker;
    readonly applyLimits: (limits: ClientLimits) => void;
} => {
    const server = createServer({ maxHeaderSize: MAX_PARSED_HEADER_BYTES, requestTimeout: 0, noDelay: true });
    const deliveries = trackDeliveries(server);
    server.on("request", (req, res) => void handle(req, res));
    return {
        server,
        deliveries,
        applyLimits: limits => {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
        },
    };
};
