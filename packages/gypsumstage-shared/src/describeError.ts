/**
 * Formats a thrown value as text for log entries and error reasons.
 *
 * @param err - the thrown value, of any type
 * @returns the message of an error, preceded by its code if it has one; other values as JSON
 */
export const describeError = (err: unknown): string => {
    if (!(err instanceof Error)) {
        return JSON.stringify(err) ?? "undefined";
    }
    const code = (err as NodeJS.ErrnoException).code;
    return code === undefined ? err.message : `${code}: ${err.message}`;
};
