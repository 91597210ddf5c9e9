/** Why a call to another process of the system returned no result. */
export type RpcError =
    | { readonly kind: "rpc-unreachable"; readonly address: string; readonly reason: string; }
    | { readonly kind: "rpc-refused"; readonly address: string; readonly reason: string; };
