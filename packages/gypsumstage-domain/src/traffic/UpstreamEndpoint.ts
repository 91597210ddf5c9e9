/** An upstream endpoint as it registered itself. */
export interface UpstreamEndpoint {
    /** Identity of this run of the endpoint; a restart mostly has another one. */
    readonly id: string;
    readonly service: string;
    /** `IP:port`; another endpoint may get the same address later. */
    readonly address: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Requests that it runs at the same time. */
    readonly slots: number;
    /** True once it has announced that it leaves. */
    readonly isDraining: boolean;
    /** How much longer it stays cold, counted from when the entry was written, in milliseconds. */
    readonly coldForMs: number;
    /** Identifies the start of this run; compare for equality only. */
    readonly startedAt: number;
}
