import type { Client } from "undici";

/** A connection to an endpoint that carries one request at a time. */
export interface UpstreamConnection {
    readonly client: Client;
    /** Returns whether no response was received yet, and counts the next one. */
    readonly takeIsFirst: () => boolean;
    /** False before the connection is open and once it is being closed. */
    readonly isOpen: () => boolean;
    /** True once the connection failed or was reset instead of being closed properly. */
    readonly isBroken: () => boolean;
    /** Bytes received so far, headers and framing included; 0 before the connection is open. */
    readonly receivedBytes: () => number;
    /** Sets the function to call each time that bytes were received, before they are parsed. */
    readonly setReceiveListener: (onReceive: () => void) => void;
}
