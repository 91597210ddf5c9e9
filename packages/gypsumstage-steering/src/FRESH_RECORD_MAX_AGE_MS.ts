/**
 * Maximum age of a record that counts as fresh. An instance with an older record gets no forwarded requests, and
 * lookups return it only when no fresh one is known.
 */
export const FRESH_RECORD_MAX_AGE_MS = 4_000;
