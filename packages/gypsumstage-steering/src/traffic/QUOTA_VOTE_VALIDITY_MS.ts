/**
 * Time for which a vote counts, from the issuer's time that it states. A vote is up to 1.4 s old when the issuer counts it, and
 * has to outlast the shares that are granted by it (QUOTA_SHARE_VALIDITY_MS). A successor waits for it.
 */
export const QUOTA_VOTE_VALIDITY_MS = 3_200;
