import type { Line } from "./Line.js";

/**
 * Fits a straight line by least squares.
 *
 * @param points - at least two points
 * @returns the line
 */
export const fitLine = (points: readonly (readonly [number, number])[]): Line => {
    const count = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
    const varX = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const varY = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
    const cov = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const slope = cov / varX;
    return { slope, intercept: meanY - slope * meanX, fit: varY === 0 ? 1 : cov ** 2 / (varX * varY) };
};
