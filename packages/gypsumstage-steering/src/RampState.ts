/** Progress of a gradual shift of work to another region. */
export interface RampState {
    /** Fraction of the work to shift that is shifted at present, from 0 to 1. */
    readonly fraction: number;
    readonly steppedAtMs: number;
}
