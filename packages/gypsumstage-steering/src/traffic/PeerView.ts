/** A live instance that accepts requests, with the fields that callers receive in lookups. */
export interface PeerView {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    /** `IP:port` on which it accepts requests. */
    readonly address: string;
}
