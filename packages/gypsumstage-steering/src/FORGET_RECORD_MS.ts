/** A record of a launch that the list does not show is dropped after this time. */
export const FORGET_RECORD_MS = 60_000;
