import type { FastifyInstance } from "fastify";
import type { ReadinessRoute } from "./ReadinessRoute.js";

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/**
 * Registers the readiness check: it responds with 200 when this instance accepts requests, else with 503.
 *
 * @param app - the HTTP server, not yet listening
 * @param route - the platform's path of the check
 * @param isReady - returns whether this instance accepts requests
 */
export const registerReadinessRoute = (
    app: FastifyInstance,
    route: ReadinessRoute,
    isReady: () => boolean,
): void => {
    app.get(route.path, async (_req, reply) => {
        const ready = isReady();
        return reply.code(ready ? STATUS_OK : STATUS_UNAVAILABLE).send({ ready });
    });
};
