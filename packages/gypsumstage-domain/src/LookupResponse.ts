/** The response to a lookup; instances are in order of preference, best first. */
export interface LookupResponse {
    readonly service: string;
    readonly instances: readonly InstanceLocation[];
    /** `INSTANCE.INCARNATION` of the home for new idempotency keys; it is the first part of such a key. */
    readonly home: string | undefined;
    readonly ttlSeconds: number;
    readonly generation: number;
}

interface InstanceLocation {
    readonly address: string;
    readonly dataCentre: string;
    readonly region: string;
}
