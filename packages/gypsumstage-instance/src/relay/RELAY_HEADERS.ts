/** Header fields between an instance and the one through which it serves a request. */
export const RELAY_HEADERS = {
    /** In requests: version of the configuration that the sender acts on; an older one must not be applied. */
    policyVersion: "gypsumstage-policy-version",
    /** In requests: the service that the sender chose. */
    service: "gypsumstage-service",
    /** In requests: endpoints to which the request may still be sent. */
    attemptsLeft: "gypsumstage-attempts-left",
    /** In requests: digest of the key of the caller's workspace; absent when the caller sent none. */
    keyDigest: "gypsumstage-key-digest",
    /** In responses: the kind of the reply. */
    replyKind: "gypsumstage-reply",
    /** In responses of endpoints: 0 when only the end of the endpoint's connection ended the body. */
    isEndStated: "gypsumstage-end-stated",
    /** In responses: the reason of a reply that is not an endpoint's response. */
    reason: "gypsumstage-reason",
    /** In responses that refuse the request: when it may be sent again, in milliseconds. */
    retryAfterMs: "gypsumstage-retry-after-ms",
} as const;
