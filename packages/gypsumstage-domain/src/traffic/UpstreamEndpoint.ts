/** An upstream endpoint as it registered itself. */
export interface UpstreamEndpoint {
    /** Identifies this run of the endpoint; it usually changes with a restart. */
    readonly id: string;
    readonly service: string;
    /** `IP:port`; another endpoint may get the same address later. */
    readonly address: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Number of requests that it runs concurrently. */
    readonly slots: number;
    /** True once it has announced that it is leaving. */
    readonly isDraining: boolean;
    /** Time for which it stays cold, counted from when the registration was written, in milliseconds. */
    readonly coldForMs: number;
    /** Identifies the start of this run; a later run under the same id has a higher value. */
    readonly startedAt: number;
}
