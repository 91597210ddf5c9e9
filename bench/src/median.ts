/**
 * Finds the median.
 *
 * @param values - at least one value
 * @returns the middle one, or the mean of the two middle ones
 */
export const median = (values: readonly number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = sorted.length / 2;
    return sorted.length % 2 === 1
        ? sorted[Math.floor(middle)] ?? NaN
        : ((sorted[middle - 1] ?? NaN) + (sorted[middle] ?? NaN)) / 2;
};
