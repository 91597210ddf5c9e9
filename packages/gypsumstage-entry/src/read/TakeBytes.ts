/** Waits until the rate limit of a link permits sending this many bytes. */
export type TakeBytes = (bytes: number) => Promise<void>;
