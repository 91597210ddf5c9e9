/** Waits until the rate limit of a link permits sending this many bytes. */
export type AcquireBytes = (bytes: number) => Promise<void>;
