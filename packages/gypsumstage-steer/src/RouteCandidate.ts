/** An instance to which a request could be sent; sent in responses of the administration API. */
export interface RouteCandidate {
    readonly instance: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly freeSlots: number;
    /** Time since the instance was last known to be alive, in milliseconds. */
    readonly heardAgoMs: number;
    readonly note: string;
}
