/** The parts of an idempotency key that names its home: the instance, returned by a lookup, that runs the request. */
export interface HomeKey {
    readonly instance: string;
    readonly incarnation: string;
    /** Creation time by the caller's clock, in milliseconds since 1970. */
    readonly madeAtMs: number;
}
