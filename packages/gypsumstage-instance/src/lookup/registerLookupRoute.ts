import type { LookupQuery } from "@gypsumstage/domain/traffic/LookupQuery";
import type { FastifyInstance } from "fastify";
import type { LookupRoute } from "./LookupRoute.js";

const STATUS_UNAVAILABLE = 503;

/**
 * Registers the route at which callers look up the addresses of the instances to use. Responds with 503 when
 * there is none.
 *
 * @param app - the HTTP server, not yet listening
 * @param route - the platform's path and wire format
 * @param chooseAddresses - returns the addresses for a query, the preferred one first
 * @param ttlMs - returns for how long callers may cache the addresses, in milliseconds
 */
export const registerLookupRoute = (
    app: FastifyInstance,
    route: LookupRoute,
    chooseAddresses: (query: LookupQuery) => readonly string[],
    ttlMs: () => number,
): void => {
    app.get(route.path, async (req, reply) => {
        const addresses = chooseAddresses(route.parseQuery(req.query as Readonly<Record<string, unknown>>));
        return addresses.length === 0
            ? reply.code(STATUS_UNAVAILABLE).send({ error: { reason: "no-instance" } })
            : reply.send(route.createResponseBody(addresses, ttlMs()));
    });
};
