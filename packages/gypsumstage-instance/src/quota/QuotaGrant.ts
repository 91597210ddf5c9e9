/** Response to a `QuotaQuery`. */
export type QuotaGrant =
    | { readonly kind: "granted"; readonly count: number; }
    /** The first attempt that waits may be sent after `retryAfterMs`, each further one `spacingMs` later. */
    | { readonly kind: "denied"; readonly retryAfterMs: number; readonly spacingMs: number; };
