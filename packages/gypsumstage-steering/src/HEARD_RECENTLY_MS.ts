/** An instance whose record is older than this is not named to callers and gets no forwarded requests. */
export const HEARD_RECENTLY_MS = 4_000;
