/** An instance of the fleet as it described itself last, or as another one that misses it reports it. */
export interface MemberRecord {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    /** `IP:port` on which it accepts requests. */
    readonly address: string;
    /** `IP:port` on which it serves messages and RPC calls of other instances. */
    readonly internalAddress: string;
    /** `IP:port` on which it serves requests that other instances pass on; absent when it takes none. */
    readonly relayAddress?: string;
    /** Random id of this run of the process. */
    readonly incarnation: string;
    /** Orders the runs of the process under this name: a later run has a higher generation. */
    readonly generation: number;
    /** Counts the changes that the instance itself made to its record in this run. */
    readonly version: number;
    /** True when it has left, or when an instance that hears it directly has missed it. */
    readonly isGone: boolean;
    readonly isReady: boolean;
    /** Services to whose endpoints it can open no connections; absent when there are none. */
    readonly cutServices?: readonly string[];
    /** True while it cannot confirm the keys of workspaces; absent otherwise. */
    readonly isUnconfirmed?: boolean | undefined;
}
