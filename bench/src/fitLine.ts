import type { Line } from "./Line.js";

/**
 * Fits a straight line to points by the method of least squares.
 *
 * @param points - x and y of at least two points with different x
 * @returns the line and its coefficient of determination, which is 1 if all y are equal
 */
export const fitLine = (points: readonly (readonly [number, number])[]): Line => {
    const count = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
    const sumSquaresX = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const sumSquaresY = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
    const sumProducts = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const slope = sumProducts / sumSquaresX;
    return {
        slope,
        intercept: meanY - slope * meanX,
        rSquared: sumSquaresY === 0 ? 1 : sumProducts ** 2 / (sumSquaresX * sumSquaresY),
    };
};
