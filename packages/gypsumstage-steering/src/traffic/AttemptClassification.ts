/** Classification of an attempt after its response or failure. */
export type AttemptClassification =
    /** The response is complete and belongs to the request; it is relayed to the caller. */
    | { readonly kind: "final"; readonly isError: boolean; }
    /** The endpoint did not run the request, so a retry cannot run it twice. */
    | { readonly kind: "not-run"; readonly reason: string; }
    /** The request may or may not have run. */
    | { readonly kind: "unknown"; readonly reason: string; };
