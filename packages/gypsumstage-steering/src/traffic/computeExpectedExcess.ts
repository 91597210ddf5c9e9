const MIN_DEVIATION = 1e-6;

/** Density of the standard normal distribution. */
const density = (value: number): number => Math.exp(-(value ** 2) / 2) / Math.sqrt(2 * Math.PI);

/** Logistic approximation of the standard normal distribution function; its error is below 0.01. */
const distribution = (value: number): number => 1 / (1 + Math.exp(-1.702 * value));

/**
 * Computes by how much a normally distributed value is expected to exceed 0: the mean of its positive part.
 *
 * @param mean - mean of the value
 * @param deviation - standard deviation of the value
 * @returns the expected excess, 0 or more
 */
export const computeExpectedExcess = (mean: number, deviation: number): number => {
    if (deviation < MIN_DEVIATION) {
        return Math.max(0, mean);
    }
    const ratio = mean / deviation;
    return Math.max(0, mean * distribution(ratio) + deviation * density(ratio));
};
