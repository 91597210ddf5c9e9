/** An endpoint that a request may be placed at, in the order of preference. */
export interface PlacementOption {
    readonly id: string;
    readonly region: string;
    readonly slots: number;
    /** Requests in flight there from all instances. */
    readonly inFlight: number;
    /** True when it ran a request for the same object lately, or is the object's first place. */
    readonly isWarm: boolean;
    /** True for the places where the object is at home. */
    readonly isHome: boolean;
    /** Time that work takes there compared with the usual one. */
    readonly slowness: number;
    /** Share of recent requests that failed there, 0 to 1. */
    readonly errorShare: number;
    /** Time on the network for going there and back, in milliseconds. */
    readonly roundTripMs: number;
}
