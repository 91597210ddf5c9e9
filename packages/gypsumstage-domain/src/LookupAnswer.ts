/** The answer of a look-up, best instance first. */
export interface LookupAnswer {
    readonly service: string;
    readonly instances: readonly NamedInstance[];
    /** `INSTANCE.INCARNATION`, the first part of an idempotency key. */
    readonly home: string | undefined;
    readonly ttlSeconds: number;
    readonly generation: number;
}

interface NamedInstance {
    readonly address: string;
    readonly dataCentre: string;
    readonly region: string;
}
