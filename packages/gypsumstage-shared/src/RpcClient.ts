import type { Result } from "./Result.js";
import type { RpcError } from "./RpcError.js";

/** Calls JSON-RPC methods of other processes. */
export interface RpcClient {
    /** Calls a method of the process at `address`, written `IP:port`. */
    readonly call: <Value>(
        address: string,
        method: string,
        params: unknown,
    ) => Promise<Result<Value, RpcError>>;
    /** Closes all connections; pending calls fail. */
    readonly close: () => Promise<void>;
}
