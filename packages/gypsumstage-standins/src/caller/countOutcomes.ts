/**
 * Counts results by outcome.
 *
 * @param results - results of requests
 * @returns number of results by outcome, without outcomes that did not occur
 */
export const countOutcomes = (
    results: readonly { readonly outcome: string; }[],
): Readonly<Record<string, number>> => {
    const counts: Record<string, number> = {};
    results.forEach(({ outcome }) => counts[outcome] = (counts[outcome] ?? 0) + 1);
    return counts;
};
