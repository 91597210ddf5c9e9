/** Whether a request may be sent to an endpoint, by the endpoints that ended while it was in flight there. */
export type SuspectVerdict =
    | { readonly kind: "allowed"; }
    | { readonly kind: "refused"; readonly retryAfterMs: number; };
