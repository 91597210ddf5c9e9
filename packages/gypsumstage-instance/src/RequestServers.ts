import type { ClientLimits } from "@gypsumstage/domain/traffic/ClientLimits";
import type { Server } from "node:http";

/** The servers for callers' requests and for those that other instances pass on. */
export interface RequestServers {
    readonly callers: Server;
    readonly relay: Server;
    /** Requests in flight at both. */
    readonly inFlight: () => number;
    readonly applyLimits: (limits: ClientLimits) => void;
}
