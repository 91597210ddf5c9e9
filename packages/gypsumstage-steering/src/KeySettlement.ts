/** How a keyed request ended. */
export type KeySettlement<Answer> =
    | { readonly kind: "served"; readonly answer: Answer; }
    | { readonly kind: "unknown"; }
    | { readonly kind: "not-run"; };
