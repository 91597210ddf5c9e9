/** How long callers keep a look-up answer, in seconds. */
export const LOOKUP_TTL_SECONDS = 2;
