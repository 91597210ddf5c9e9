/** Limits how fast the share of requests that run in each region may change. */
export interface RegionShiftLimiter {
    /** Whether one more request may be placed in the region now. */
    readonly allows: (region: string) => boolean;
    /** Counts a request of this instance that was placed in the region. */
    readonly recordPlacement: (region: string) => void;
    /** Requests that this instance has placed since it started, by region. */
    readonly placed: () => Readonly<Record<string, number>>;
}
