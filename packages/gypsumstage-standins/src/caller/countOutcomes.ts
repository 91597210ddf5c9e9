/**
 * Counts results by outcome.
 *
 * @param results - the results
 * @returns the count of each outcome that occurred
 */
export const countOutcomes = (
    results: readonly { readonly outcome: string; }[],
): Readonly<Record<string, number>> => {
    const counts: Record<string, number> = {};
    results.forEach(({ outcome }) => counts[outcome] = (counts[outcome] ?? 0) + 1);
    return counts;
};
