/** A straight line through points. */
export interface Line {
    readonly slope: number;
    readonly intercept: number;
    /** Part of the variance that the line explains, from 0 to 1. */
    readonly fit: number;
}
