/** Handler of a JSON-RPC method. It must validate `params` itself. */
export type RpcMethod = (params: unknown) => unknown;
