/** One instance that a request could be sent to. */
export interface RouteCandidate {
    readonly instance: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly freeSlots: number;
    readonly heardAgoMs: number;
    readonly note: string;
}
