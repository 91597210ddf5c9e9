/** Progress of a gradual shift of work to another region. */
export interface RampState {
    /** Fraction of the work that is shifted, from 0 to 1. */
    readonly part: number;
    readonly steppedAtMs: number;
}
