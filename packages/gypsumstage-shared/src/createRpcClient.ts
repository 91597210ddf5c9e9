import {
    createJSONRPCErrorResponse,
    JSONRPCClient,
    JSONRPCErrorException,
    type JSONRPCErrorResponse,
    type JSONRPCID,
    type JSONRPCRequest,
    type JSONRPCResponse,
} from "json-rpc-2.0";
import { setTimeout as delay } from "node:timers/promises";
import { Agent, type Dispatcher, request } from "undici";
import { describeError } from "./describeError.js";
import { failure } from "./failure.js";
import { readJsonBody } from "./readJsonBody.js";
import type { Result } from "./Result.js";
import type { RpcClient } from "./RpcClient.js";
import type { RpcClientOptions } from "./RpcClientOptions.js";
import type { RpcError } from "./RpcError.js";
import { success } from "./success.js";

/** Idle connections may go silent without a sign, so they are kept only for calls in quick succession. */
const KEEP_ALIVE_TIMEOUT_MS = 1_000;
/** JSON-RPC error code of calls that time out (implementation-defined server error). */
const TIMEOUT_ERROR_CODE = -32_000;
/** Several times the largest response: all endpoints, or a configuration as large as the store allows. */
const MAX_RESPONSE_BYTES = 8_388_608;
const NO_RESPONSE = "no response yet";

/**
 * Creates a client for the JSON-RPC methods of other processes of the system.
 *
 * @param timeoutMs - timeout of each call, in milliseconds, whether it is sent once or twice
 * @param options - local address of the connections, and when calls are sent again
 * @returns the client; the caller must close it
 */
export const createRpcClient = (timeoutMs: number, options: RpcClientOptions = {}): RpcClient => {
    const { sourceAddress, resendAfterMs, onResend = () => undefined } = options;
    const agentOptions: Agent.Options = {
        connect: { timeout: timeoutMs },
        ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
    };
    const keptConnections = new Agent({
        ...agentOptions,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        // Otherwise the server's own, longer timeout replaces that of the client.
        keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
        connections: 2,
    });
    const newConnections = new Agent({ ...agentOptions, pipelining: 0 });
    const clients = new Map<string, JSONRPCClient>();
    const post = async (
        dispatcher: Dispatcher,
        address: string,
        req: JSONRPCRequest,
        signal: AbortSignal,
    ): Promise<JSONRPCResponse> => {
        const res = await request(`http://${address}/rpc`, {
            dispatcher,
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(req),
            signal,
        });
        const body = await readJsonBody(res.body as AsyncIterable<Buffer>, MAX_RESPONSE_BYTES);
        if (!body.ok) {
            throw new Error(body.error.kind);
        }
        return body.value as JSONRPCResponse;
    };
    /** Waits until the call has failed, or has been without a response for the time after which it is sent again. */
    const waitForDoubt = (
        sent: Promise<JSONRPCResponse>,
        afterMs: number,
        signal: AbortSignal,
    ): Promise<string> =>
        Promise.race([
            sent.then(() => new Promise<never>(() => undefined), describeError),
            delay(afterMs, NO_RESPONSE, { signal }),
        ]);
    const send = async (
        address: string,
        req: JSONRPCRequest,
        signal: AbortSignal,
    ): Promise<JSONRPCResponse> => {
        const first = post(keptConnections, address, req, signal);
        if (resendAfterMs === undefined) {
            return first;
        }
        const second = waitForDoubt(first, resendAfterMs, signal).then(reason => {
            onResend(address, reason);
            return post(newConnections, address, req, signal);
        });
        try {
            return await Promise.any([first, second]);
        }
        catch (err) {
            throw err instanceof AggregateError ? err.errors.at(-1) : err;
        }
    };
    const createClient = (address: string): JSONRPCClient => {
        const client: JSONRPCClient = new JSONRPCClient(async (req: JSONRPCRequest) => {
            const ended = new AbortController();
            const timer = setTimeout(() => ended.abort(), timeoutMs);
            try {
                client.receive(await send(address, req, ended.signal));
            }
            finally {
                clearTimeout(timer);
                // Closes the connection on which no response has come.
                ended.abort();
            }
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
    return {
        call,
        close: async () => {
            await Promise.all([keptConnections.destroy(), newConnections.destroy()]);
        },
    };
};
