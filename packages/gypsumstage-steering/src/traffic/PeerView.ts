/** Name, location and request address of an instance; lookups choose the instances to return by them. */
export interface PeerView {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    /** `IP:port` on which it accepts requests. */
    readonly address: string;
    /** Services to whose endpoints it can open no connections; absent when there are none. */
    readonly cutServices?: readonly string[];
    /** True while it cannot confirm the keys of workspaces; absent otherwise. */
    readonly isUnconfirmed?: boolean | undefined;
}
