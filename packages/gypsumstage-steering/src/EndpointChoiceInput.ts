/** Input of `chooseEndpoint` beside the endpoint states. */
export interface EndpointChoiceInput {
    readonly length: "short" | "long";
    /** Whether the request may use slots of unoccupied places. */
    readonly mayUseExtraSlots: boolean;
    /** Names of the endpoints that may run long work; undefined when any endpoint may. */
    readonly longSubset: ReadonlySet<string> | undefined;
    /** Names of the endpoints that earlier attempts of this request used. */
    readonly tried: ReadonlySet<string>;
    readonly nowMs: number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}
