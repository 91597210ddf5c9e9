/** A class of work and the target that operators declared for it. */
export interface RequestClass {
    readonly name: string;
    readonly service: string;
    readonly method: string;
    /** Path prefix ending in `*`, or a whole path. */
    readonly path: string;
    readonly latencyTargetMs: number;
    readonly deadlineMs: number;
    readonly isIdempotent: boolean;
    readonly length: "short" | "long";
}
