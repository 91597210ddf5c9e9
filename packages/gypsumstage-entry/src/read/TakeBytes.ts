/** Waits until bytes may be sent. */
export type TakeBytes = (bytes: number) => Promise<void>;
