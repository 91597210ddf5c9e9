/** A handler of one JSON-RPC method; parameters are unchecked until the handler has read them. */
export type RpcMethod = (params: unknown) => unknown;
