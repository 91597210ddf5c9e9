/** Time for which the issuer grants a share: some exchanges, so that shares outlast the loss of a few, and for a while their issuer. */
export const QUOTA_SHARE_VALIDITY_MS = 1_400;
