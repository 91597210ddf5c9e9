/** An instance to which a request could be sent; sent in responses of the administration API. */
export interface RouteCandidate {
    readonly instance: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly freeSlots: number;
    readonly heardAgoMs: number;
    readonly note: string;
}
