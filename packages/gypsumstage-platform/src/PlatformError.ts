/** Why an operation of the object API gave no answer that can be relied on. */
export type PlatformError =
    /** No answer: a write may or may not have taken effect. */
    | { readonly kind: "platform-unreachable"; readonly reason: string; }
    /** The condition of a write did not hold: it certainly had no effect. */
    | { readonly kind: "platform-conflict"; readonly key: string; };
