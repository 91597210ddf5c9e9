/**
 * The result of reading a body to decide whether it is small enough to store: all of it, its start if it is larger than
 * the limit, or an error of the stream.
 */
export type CollectedBody =
    | { readonly kind: "complete"; readonly body: Buffer; }
    | { readonly kind: "too-large"; readonly start: Buffer; }
    | { readonly kind: "failed"; readonly reason: string; };
