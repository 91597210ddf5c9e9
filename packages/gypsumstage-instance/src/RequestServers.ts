import type { ClientLimits } from "@gypsumstage/domain/traffic/ClientLimits";
import type { Server } from "node:http";

/** The servers for callers' requests and for those that other instances pass on. */
export interface RequestServers {
    readonly callers: Server;
    readonly relay: Server;
    /** Requests in flight at both; one ends when the operating system has taken its whole response. */
    readonly inFlight: () => number;
    /** Resets the connections on which responses are still being delivered. */
    readonly resetUndelivered: () => void;
    readonly applyLimits: (limits: ClientLimits) => void;
}
