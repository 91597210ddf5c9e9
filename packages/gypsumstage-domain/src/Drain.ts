/** A planned removal of traffic from an endpoint, a data centre or a region. */
export interface Drain {
    readonly scope: "endpoint" | "dataCentre" | "region";
    readonly name: string;
    /** Wall-clock time at which the drain was accepted, in milliseconds since 1970. */
    readonly startedAtMs: number;
}
