/**
 * Result of reading the body of a caller's request; `body` is undefined when the request has none. Its memory is reserved until
 * `release` is called.
 */
export type BodyOutcome =
    | { readonly kind: "read"; readonly body: Buffer | undefined; readonly release: () => void; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "no-memory"; }
    | { readonly kind: "late"; }
    | { readonly kind: "broken-off"; };
