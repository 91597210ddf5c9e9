/** A planned shift of a part of a service's work from one region to another. */
export interface Move {
    readonly service: string;
    readonly from: string;
    readonly to: string;
    /** Part of the work of `from` that shall go to `to`, from 0 to 1. */
    readonly part: number;
    /** Wall-clock time at which it was accepted, in milliseconds since 1970. */
    readonly startedAtMs: number;
}
