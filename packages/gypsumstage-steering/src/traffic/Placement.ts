/** The endpoint chosen for a request, or the reason why there is none. */
export type Placement =
    | { readonly kind: "placed"; readonly id: string; readonly expectedMs: number; }
    | { readonly kind: "no-endpoint"; }
    | { readonly kind: "no-room"; readonly retryAfterMs: number; };
