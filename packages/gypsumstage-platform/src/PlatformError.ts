/** Why an operation of the object API failed. */
export type PlatformError =
    /** No usable response: a write may or may not have taken effect. */
    | { readonly kind: "platform-unreachable"; readonly reason: string; }
    /** The condition of a write did not hold: the write had no effect. */
    | { readonly kind: "platform-conflict"; readonly key: string; };
