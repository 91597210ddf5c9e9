/** Validity of a granted permit, from before it was requested. It takes half of the tolerance of a window of 5 s. */
export const QUOTA_PERMIT_VALIDITY_MS = 250;
