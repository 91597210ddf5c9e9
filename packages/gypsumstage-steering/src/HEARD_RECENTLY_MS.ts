/**
 * Maximum age of a record that counts as fresh. An instance with an older record gets no forwarded requests, and
 * look-ups return it only when no fresh one is known.
 */
export const HEARD_RECENTLY_MS = 4_000;
