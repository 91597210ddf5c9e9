/** Parameters of the RPC method `permit.issue`, by which an instance requests permits for an endpoint. */
export interface PermitQuery {
    readonly endpointId: string;
    /** Name of the instance that requests them. */
    readonly holder: string;
    /** The endpoint's rate limit as the holder knows it, in requests per second from all instances together. */
    readonly ratePerSecond: number;
}
