/**
 * Turns whatever was thrown into text for a log entry.
 *
 * @param err - the thrown value
 * @returns its code and message, where it has them
 */
export const describeError = (err: unknown): string => {
    if (!(err instanceof Error)) {
        return JSON.stringify(err) ?? "undefined";
    }
    const code = (err as NodeJS.ErrnoException).code;
    return code === undefined ? err.message : `${code}: ${err.message}`;
};
