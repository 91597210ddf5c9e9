/** Another instance through which a request can be served. */
export interface Relay {
    readonly name: string;
    /** `IP:port` at which it takes requests of other instances. */
    readonly address: string;
}
