/** Settings of one service, as declared by operators. */
export interface ServicePolicy {
    readonly name: string;
    /** Path of the health check of an endpoint. */
    readonly healthPath: string;
    /** Maximum number of connections that one endpoint accepts from all instances together. */
    readonly maxConnections: number;
    /** How long an endpoint stays cold after its start, in milliseconds. */
    readonly coldStartMs: number;
    /** Maximum rate of requests that a cold endpoint tolerates from all instances together, per second. */
    readonly coldRequestsPerSecond: number;
}
