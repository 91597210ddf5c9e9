/** A class of work with the latency target and deadline that operators declared for it. */
export interface RequestClass {
    readonly name: string;
    readonly service: string;
    readonly method: string;
    /** Exact path, or a path prefix ending in `*`. */
    readonly path: string;
    readonly latencyTargetMs: number;
    readonly deadlineMs: number;
    readonly isIdempotent: boolean;
    readonly length: "short" | "long";
}
