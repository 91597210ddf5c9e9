import type { FastifyInstance } from "fastify";
import type { Registry } from "prom-client";

/**
 * Serves the metrics of a process at `GET /metrics` in the Prometheus text format.
 *
 * @param app - the HTTP server
 * @param registry - the registry that contains the metrics
 */
export const registerMetrics = (app: FastifyInstance, registry: Registry): void => {
    app.get("/metrics", async (_req, reply) => {
        const text = await registry.metrics();
        return reply.type(registry.contentType).send(text);
    });
};
