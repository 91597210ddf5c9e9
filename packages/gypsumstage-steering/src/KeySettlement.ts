/** Final outcome of a request with an idempotency key. */
export type KeySettlement<Response> =
    | { readonly kind: "served"; readonly answer: Response; }
    | { readonly kind: "unknown"; }
    | { readonly kind: "not-run"; };
