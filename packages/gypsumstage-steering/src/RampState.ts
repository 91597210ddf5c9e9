/** Progress of a shift of work from one place to another. */
export interface RampState {
    /** Part of the work that is shifted, from 0 to 1. */
    readonly part: number;
    readonly steppedAtMs: number;
}
