/** Handler of a JSON-RPC method; `params` has not been validated. */
export type RpcMethod = (params: unknown) => unknown;
