/**
 * Time for which a vote counts, from the issuer's time that it states. A vote reaches the issuer up to 1.5 s after that
 * time, and covers shares that the issuer grants for QUOTA_SHARE_VALIDITY_MS.
 */
export const QUOTA_VOTE_VALIDITY_MS = 3_000;
