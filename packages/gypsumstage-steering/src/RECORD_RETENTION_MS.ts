/** Records older than this are evicted when the list of members does not contain their launch. */
export const RECORD_RETENTION_MS = 60_000;
