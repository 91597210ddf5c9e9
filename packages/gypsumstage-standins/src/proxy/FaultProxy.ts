import type { ByteCount } from "./ByteCount.js";
import type { ProxyAction } from "./ProxyAction.js";

/** A running fault-injecting proxy. */
export interface FaultProxy {
    /**
     * Sets the rule that chooses the action by sending and receiving host. It is evaluated for each new connection,
     * each chunk of data and each close.
     */
    readonly setRule: (rule: (fromHost: string, toHost: string) => ProxyAction) => void;
    /** Sets the function that returns the delay of data by sending and receiving host, in milliseconds. */
    readonly setDelay: (getDelayMs: (fromHost: string, toHost: string) => number) => void;
    /** Returns the bytes forwarded since the start of the proxy, by direction and interval. */
    readonly byteCounts: () => readonly ByteCount[];
    readonly stop: () => Promise<void>;
}
