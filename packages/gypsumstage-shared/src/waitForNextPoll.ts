/**
 * Waits until the event loop has polled the sockets once more. What had already arrived at the call, such as the end of a
 * connection whose data was just read, has then been delivered.
 *
 * @returns a promise that resolves after the next poll phase
 */
export const waitForNextPoll = (): Promise<void> =>
    new Promise(resolve => {
        // The first callback runs right after the current poll phase, the second one after the next.
        setImmediate(() => setImmediate(resolve));
    });
