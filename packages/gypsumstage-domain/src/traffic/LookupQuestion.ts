/** A caller's look-up of the instances to use: the host that it requests, and its own location. */
export interface LookupQuestion {
    readonly host: string;
    readonly region: string;
    readonly dataCentre: string;
}
