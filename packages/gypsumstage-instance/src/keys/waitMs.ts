/**
 * Waits for some time.
 *
 * @param ms - the time, in milliseconds
 * @returns a promise that resolves after it
 */
export const waitMs = (ms: number): Promise<undefined> =>
    new Promise(resolve => setTimeout(() => resolve(undefined), ms));
