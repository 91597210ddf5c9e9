/** Reason sent when an entry refuses a forwarded request without having tried any endpoint. */
export const NO_FREE_SLOT = "no free slot";
