import {
    createJSONRPCErrorResponse,
    JSONRPCClient,
    JSONRPCErrorException,
    type JSONRPCErrorResponse,
    type JSONRPCID,
    type JSONRPCRequest,
    type JSONRPCResponse,
} from "json-rpc-2.0";
import { Agent, request } from "undici";
import { describeError } from "./describeError.js";
import { failure } from "./failure.js";
import type { Result } from "./Result.js";
import type { RpcClient } from "./RpcClient.js";
import type { RpcError } from "./RpcError.js";
import { success } from "./success.js";

const KEEP_ALIVE_TIMEOUT_MS = 3_000;
/** JSON-RPC error code of calls that time out (implementation-defined server error). */
const TIMEOUT_ERROR_CODE = -32_000;

/**
 * Creates a client for the JSON-RPC methods of other processes of the system.
 *
 * @param timeoutMs - timeout for connecting and for each response, in milliseconds
 * @param sourceAddress - local IP address of the connections; chosen by the operating system if undefined
 * @returns the client; the caller must close it
 */
export const createRpcClient = (timeoutMs: number, sourceAddress?: string): RpcClient => {
    const agent = new Agent({
        connect: { timeout: timeoutMs },
        ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        connections: 2,
    });
    const clients = new Map<string, JSONRPCClient>();
    const createClient = (address: string): JSONRPCClient => {
        const client: JSONRPCClient = new JSONRPCClient(async (req: JSONRPCRequest) => {
            const res = await request(`http://${address}/rpc`, {
                dispatcher: agent,
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(req),
                signal: AbortSignal.timeout(timeoutMs),
            });
            client.receive(await res.body.json() as JSONRPCResponse);
        });
        clients.set(address, client);
        return client;
    };
    const call = async <Value>(
        address: string,
        method: string,
        params: unknown,
    ): Promise<Result<Value, RpcError>> => {
        const client = clients.get(address) ?? createClient(address);
        try {
            const createTimeoutResponse = (id: JSONRPCID): JSONRPCErrorResponse =>
                createJSONRPCErrorResponse(id, TIMEOUT_ERROR_CODE, "no answer in time");
            return success(
                await client.timeout(timeoutMs, createTimeoutResponse).request(method, params) as Value,
            );
        }
        catch (err) {
            const isRefused = err instanceof JSONRPCErrorException && err.code !== TIMEOUT_ERROR_CODE;
            return failure({
                kind: isRefused ? "rpc-refused" : "rpc-unreachable",
                address,
                reason: describeError(err),
            });
        }
    };
    return { call, close: () => agent.destroy() };
};
