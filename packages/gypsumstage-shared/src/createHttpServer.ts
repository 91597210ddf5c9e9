import Fastify, { type FastifyInstance } from "fastify";
import type { Address } from "./Address.js";
import { invariant } from "./invariant.js";
import { parseAddress } from "./parseAddress.js";

const BODY_LIMIT_BYTES = 1_048_576;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/**
 * Creates an HTTP server for control traffic. It accepts connections after `listen` is called.
 *
 * @param address - address to listen on, `IP:port`
 * @returns the server and its `listen` function
 * @throws Error with the code `address-malformed` if the address cannot be parsed
 */
export const createHttpServer = (
    address: string,
): { readonly app: FastifyInstance; readonly listen: () => Promise<void>; } => {
    const parsed: Address | undefined = parseAddress(address);
    invariant(parsed, "address-malformed");
    const app = Fastify({
        bodyLimit: BODY_LIMIT_BYTES,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        forceCloseConnections: true,
    });
    app.setErrorHandler((err, _req, reply) => {
        const status = (err as { readonly statusCode?: number; }).statusCode ?? 500;
        const kind = status < 500 ? "request-invalid" : "internal-error";
        void reply.code(status).send({ error: { kind, reason: (err as Error).message } });
    });
    return {
        app,
        listen: async () => {
            await app.listen({ host: parsed.host, port: parsed.port });
        },
    };
};
