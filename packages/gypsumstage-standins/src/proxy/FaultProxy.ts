import type { ByteCount } from "./ByteCount.js";
import type { ProxyAction } from "./ProxyAction.js";

/** A running fault-injecting proxy. */
export interface FaultProxy {
    /** Decides by the host that sends the bytes and the host that is to get them; asked for each part. */
    readonly setRule: (rule: (fromHost: string, toHost: string) => ProxyAction) => void;
    /** Delay of each direction, in milliseconds. */
    readonly setDelay: (delay: (fromHost: string, toHost: string) => number) => void;
    readonly byteCounts: () => readonly ByteCount[];
    readonly stop: () => Promise<void>;
}
