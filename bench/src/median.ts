/**
 * Returns the median: the middle value, or the mean of the two middle values of an even count.
 *
 * @param values - the values, in any order
 * @returns the median, or NaN without values
 */
export const median = (values: readonly number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = sorted.length / 2;
    return sorted.length % 2 === 1
        ? sorted[Math.floor(middle)] ?? NaN
        : ((sorted[middle - 1] ?? NaN) + (sorted[middle] ?? NaN)) / 2;
};
