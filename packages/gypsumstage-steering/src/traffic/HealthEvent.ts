/** An observation of an endpoint; `nowMs` and `untilMs` are monotonic times. */
export type HealthEvent =
    /** A connection could not be opened or broke; the endpoint may be restarting. */
    | { readonly kind: "unreachable"; readonly nowMs: number; }
    /** The endpoint responded; `slowness` is the response time relative to the typical one, if measured. */
    | {
        readonly kind: "answered";
        readonly nowMs: number;
        readonly slowness: number | undefined;
        readonly isError: boolean;
    }
    /** A health check succeeded and reported for how much longer the endpoint is cold. */
    | { readonly kind: "checked"; readonly nowMs: number; readonly coldMs: number; }
    /** A health check failed. */
    | { readonly kind: "check-failed"; readonly nowMs: number; }
    /** The failures were those of this instance's links; a health check is due at once. */
    | { readonly kind: "links-restored"; }
    /** The endpoint is leaving. */
    | { readonly kind: "leaving"; readonly nowMs: number; }
    /** The endpoint turned a request away and asked for no more until the given time. */
    | { readonly kind: "paused"; readonly untilMs: number; }
    /** The endpoint is cold until the given time. */
    | { readonly kind: "cold"; readonly untilMs: number; };
