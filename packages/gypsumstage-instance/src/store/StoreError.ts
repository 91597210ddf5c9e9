/** Why a call to the store failed. */
export type StoreError =
    /** No response, or one that cannot be parsed. */
    | { readonly kind: "store-unreachable"; readonly reason: string; }
    /** The store rejected the call; nothing was done. */
    | { readonly kind: "store-refused"; readonly status: number; }
    /** The response has no end, or is larger than any that is read. */
    | { readonly kind: "response-too-large"; readonly maxBytes: number; }
    /** The store no longer keeps the changes since the given revision: the topic must be listed again. */
    | { readonly kind: "history-gone"; };
