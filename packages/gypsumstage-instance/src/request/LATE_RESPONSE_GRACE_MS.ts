/** Time after the deadline during which an endpoint's response is still accepted. */
export const LATE_RESPONSE_GRACE_MS = 120;
