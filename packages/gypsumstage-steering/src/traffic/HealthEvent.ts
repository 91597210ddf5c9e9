/** An observation of an endpoint; `now` and `until` are monotonic times, in milliseconds. */
export type HealthEvent =
    /** A connection could not be opened or broke; the endpoint may be restarting. */
    | { readonly kind: "unreachable"; readonly now: number; }
    /** The endpoint responded; `slowness` is the response time relative to the typical one, if measured. */
    | {
        readonly kind: "answered";
        readonly now: number;
        readonly slowness: number | undefined;
        readonly isError: boolean;
    }
    /** A health check succeeded and reported for how much longer the endpoint is cold. */
    | { readonly kind: "checked"; readonly now: number; readonly coldMs: number; }
    /** A health check failed. */
    | { readonly kind: "check-failed"; readonly now: number; }
    /** The endpoint is leaving. */
    | { readonly kind: "leaving"; readonly now: number; }
    /** The endpoint is cold until the given time. */
    | { readonly kind: "cold"; readonly until: number; };
