/** Result of reading the body of a caller's request; `body` is undefined when the request has none. */
export type BodyOutcome =
    | { readonly kind: "read"; readonly body: Buffer | undefined; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "broken-off"; };
