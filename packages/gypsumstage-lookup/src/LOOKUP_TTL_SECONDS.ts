/** Time for which callers may cache a lookup response. */
export const LOOKUP_TTL_SECONDS = 2;
