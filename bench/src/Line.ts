/** A straight line fitted to points. */
export interface Line {
    readonly slope: number;
    readonly intercept: number;
    /** Coefficient of determination: the fraction of the variance that the line explains, from 0 to 1. */
    readonly rSquared: number;
}
