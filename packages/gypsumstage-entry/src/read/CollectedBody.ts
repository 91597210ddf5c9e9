/** The result of buffering a body up to a size limit: all of it, its start if it is larger, or an error of the stream. */
export type CollectedBody =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "large"; readonly start: Buffer; }
    | { readonly kind: "cut"; readonly reason: string; };
