/**
 * Takes the notices for the next round of gossip: those with the most rounds left first, as the fewest instances know them.
 *
 * @param pending - number of rounds left, by the key of the notice
 * @param maxCount - maximum number of notices in a round
 * @returns the keys of the notices to send, and what is pending after that
 */
export const takePendingNotices = (
    pending: ReadonlyMap<string, number>,
    maxCount: number,
): { readonly keys: readonly string[]; readonly pending: ReadonlyMap<string, number>; } => {
    const keys = [...pending]
        .sort(([, left], [, right]) => right - left)
        .slice(0, maxCount)
        .map(([key]) => key);
    const next = new Map(pending);
    for (const key of keys) {
        const roundsLeft = (pending.get(key) ?? 0) - 1;
        if (roundsLeft > 0) {
            next.set(key, roundsLeft);
        }
        else {
            next.delete(key);
        }
    }
    return { keys, pending: next };
};
