/** Names of the header fields that the system adds to HTTP. */
export const HEADERS = {
    /** What became of the request: `served`, `not-run` or `unknown`. */
    outcome: "gypsumstage-outcome",
    /** Why a request was not served. */
    reason: "gypsumstage-reason",
    /** Milliseconds that are left for the request. */
    deadline: "gypsumstage-deadline-ms",
    /** Region and instance of the entry that forwarded the request, `REGION/INSTANCE`. */
    hop: "gypsumstage-hop",
    /** Set by the home of a key when another entry runs the request for it. */
    keyChecked: "gypsumstage-key-checked",
    /** Time of a claimed key, in milliseconds since 1970. */
    keyMade: "gypsumstage-key-made",
    /** Set by an upstream that certainly did not run the request: `overload`, `draining` or `expired`. */
    refused: "gypsumstage-refused",
    /** Set by an upstream on any answer once it is leaving. */
    draining: "gypsumstage-draining",
    idempotencyKey: "idempotency-key",
} as const;
