/** Query of a caller for the instances to use: the host that it requests, and its own location. */
export interface LookupQuery {
    readonly host: string;
    readonly region: string;
    readonly dataCentre: string;
}
