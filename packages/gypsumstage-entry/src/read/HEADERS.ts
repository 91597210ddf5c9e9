/** Names of the HTTP header fields that have a meaning for gypsumstage. */
export const HEADERS = {
    /** Outcome of the request: `served`, `not-run` or `unknown`. */
    outcome: "gypsumstage-outcome",
    /** Reason why the request was not served. */
    reason: "gypsumstage-reason",
    /** Milliseconds that remain until the deadline of the request. */
    deadline: "gypsumstage-deadline-ms",
    /** Region and instance of the entry that forwarded the request, `REGION/INSTANCE`. */
    hop: "gypsumstage-hop",
    /** Set by the home of a key on a request that it forwards to another entry: the key has been checked. */
    keyChecked: "gypsumstage-key-checked",
    /** Time at which a key was claimed, in milliseconds since 1970. */
    keyMade: "gypsumstage-key-made",
    /** Set by an endpoint if the request certainly did not run, to the reason: `overload`, `draining` or `expired`. */
    refused: "gypsumstage-refused",
    /** Set by an endpoint on every response once it is shutting down. */
    draining: "gypsumstage-draining",
    idempotencyKey: "idempotency-key",
} as const;
