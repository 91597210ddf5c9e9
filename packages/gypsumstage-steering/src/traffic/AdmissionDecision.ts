/** What becomes of a request that is to be sent to a service with admission. */
export type AdmissionDecision =
    /** It is its turn: it may take a slot that is free for it. */
    | { readonly kind: "place"; }
    | { readonly kind: "wait"; }
    /** A response before the deadline is not possible, or too many requests wait. */
    | {
        readonly kind: "refuse";
        readonly reason: "queue-late" | "queue-full";
        readonly retryAfterMs: number;
    };
