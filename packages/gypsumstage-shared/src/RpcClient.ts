import type { Result } from "./Result.js";
import type { RpcError } from "./RpcError.js";

/** Calls JSON-RPC methods of other processes. */
export interface RpcClient {
    /** Calls one method at `IP:port`. */
    readonly call: <Answer>(
        address: string,
        method: string,
        params: unknown,
    ) => Promise<Result<Answer, RpcError>>;
    /** Closes the connections. */
    readonly close: () => Promise<void>;
}
