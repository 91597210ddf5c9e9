import type { DiscoveryStore } from "./discovery/DiscoveryStore.js";
import type { HeaderCodec } from "./HeaderCodec.js";
import type { LookupRoute } from "./lookup/LookupRoute.js";
import type { ReadinessRoute } from "./lookup/ReadinessRoute.js";
import type { FleetStore } from "./store/FleetStore.js";

/** The platform-specific parts of an instance: its store, and its header fields, paths and formats. */
export interface PlatformAdapter {
    readonly store: FleetStore;
    readonly discovery: DiscoveryStore;
    readonly headerCodec: HeaderCodec;
    readonly lookup: LookupRoute;
    readonly readiness: ReadinessRoute;
}
