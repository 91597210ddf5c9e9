/** Final outcome of a request with an idempotency key. */
export type KeySettlement<Answer> =
    | { readonly kind: "served"; readonly answer: Answer; }
    | { readonly kind: "unknown"; }
    | { readonly kind: "not-run"; };
