/** Says that an endpoint is leaving. */
export interface LeavingNotice {
    readonly endpointId: string;
    /** Identifies the run of the endpoint. */
    readonly startedAt: number;
}
