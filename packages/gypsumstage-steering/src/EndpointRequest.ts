/** What the choice of an endpoint depends on beside the endpoints. */
export interface EndpointRequest {
    readonly length: "short" | "long";
    /** Whether slots of unoccupied places may be counted. */
    readonly mayUseExtra: boolean;
    /** Endpoints that may run long work; undefined when long work is not held apart. */
    readonly longSubset: ReadonlySet<string> | undefined;
    /** Endpoints that this request has tried. */
    readonly tried: ReadonlySet<string>;
    readonly nowMs: number;
    /** Returns a number from 0 up to 1. */
    readonly random: () => number;
}
