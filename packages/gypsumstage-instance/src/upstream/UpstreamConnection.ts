import type { Client } from "undici";

/** A connection to an endpoint that carries one request at a time. */
export interface UpstreamConnection {
    readonly client: Client;
    /** True once the connection failed or was reset instead of being closed properly. */
    readonly isBroken: () => boolean;
}
