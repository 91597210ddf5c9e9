/** An observation of the links to the endpoints of a service; `nowMs` is monotonic. */
export type ReachEvent =
    /** An endpoint responded to a request, on a connection of any age. */
    | { readonly kind: "answered"; readonly nowMs: number; }
    /** A connection could not be opened, or broke. */
    | { readonly kind: "failed"; }
    /** Connections were opened to endpoints, to see whether that is possible. */
    | { readonly kind: "checked"; readonly isReached: boolean; readonly nowMs: number; };
