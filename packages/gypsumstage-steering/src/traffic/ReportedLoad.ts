/**
 * A load that an endpoint stated, as instances report it to each other: requests running, requests waiting, slots,
 * slowness, and the time since it was stated, in milliseconds.
 */
export type ReportedLoad = readonly [
    running: number,
    waiting: number,
    slots: number,
    slowness: number,
    ageMs: number,
];
