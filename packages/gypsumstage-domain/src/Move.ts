/** A planned shift of a fraction of a service's traffic from one region to another. */
export interface Move {
    readonly service: string;
    readonly from: string;
    readonly to: string;
    /** Fraction of the traffic of `from` that is sent to `to`, from 0 to 1. */
    readonly part: number;
    /** Wall-clock time at which the move was accepted, in milliseconds since 1970. */
    readonly startedAtMs: number;
}
