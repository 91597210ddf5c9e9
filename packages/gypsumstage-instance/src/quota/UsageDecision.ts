/** Decision on whether an attempt of a workspace may be sent. */
export type UsageDecision =
    | {
        readonly kind: "granted";
        /** Returns the permit of an attempt that certainly did not reach an endpoint. */
        readonly refund: () => void;
    }
    /** The usage cap is exhausted; it is expected to allow the request after `retryAfterMs`. */
    | { readonly kind: "exceeded"; readonly retryAfterMs: number; };
