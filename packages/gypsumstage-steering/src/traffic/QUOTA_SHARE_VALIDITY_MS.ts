/** Time for which the issuer grants a share: three exchanges, so that one that is lost does no harm. */
export const QUOTA_SHARE_VALIDITY_MS = 1_200;
