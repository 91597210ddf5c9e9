import type { FastifyInstance } from "fastify";
import { type JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import type { RpcMethod } from "./RpcMethod.js";

/**
 * Serves JSON-RPC 2.0 at `POST /rpc`.
 *
 * @param app - the HTTP server
 * @param methods - handlers by method name
 */
export const registerRpc = (app: FastifyInstance, methods: Readonly<Record<string, RpcMethod>>): void => {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const [name, method] of Object.entries(methods)) {
        server.addMethod(name, method as (params: unknown) => PromiseLike<unknown>);
    }
    app.post("/rpc", async (req, reply) => {
        const response = await server.receive(req.body as JSONRPCRequest);
        return reply.send(response ?? {});
    });
};
