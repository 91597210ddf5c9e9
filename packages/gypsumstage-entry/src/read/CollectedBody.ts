/** The start of a body, read to decide whether it is small enough to keep. */
export type CollectedBody =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "large"; readonly start: Buffer; }
    | { readonly kind: "cut"; readonly reason: string; };
