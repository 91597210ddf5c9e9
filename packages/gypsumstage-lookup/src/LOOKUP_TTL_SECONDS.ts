/** Time for which callers may cache a lookup answer. */
export const LOOKUP_TTL_SECONDS = 2;
