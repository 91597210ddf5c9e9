/** Decision on a request for permits; each permit allows one request to be sent to a rate-limited endpoint. */
export type PermitDecision =
    /** The permits must be used within `validForMs`. */
    | { readonly kind: "granted"; readonly count: number; readonly validForMs: number; }
    /** No permit is expected to be available within `retryAfterMs`. */
    | { readonly kind: "denied"; readonly retryAfterMs: number; };
