import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { Log } from "@gypsumstage/shared/Log";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import { createReachMonitor } from "../reach/createReachMonitor.js";
import { createEndpointTracker } from "./createEndpointTracker.js";
import { createResponseMemory } from "./createResponseMemory.js";
import { createUpstreamConnector } from "./createUpstreamConnector.js";
import { createUpstreamPool } from "./createUpstreamPool.js";
import type { UpstreamConnector } from "./UpstreamConnector.js";
import type { Upstreams } from "./Upstreams.js";

/** Limit of all responses being received or written to callers; leaves room for the process in the smallest instances of 250 MB. */
const RESPONSE_MEMORY_BYTES = 67_108_864;

/**
 * Starts the connections to endpoints and to other instances, and the monitor of the links to endpoints.
 *
 * @param view - returns the current fleet view
 * @param onCutOff - called with each endpoint of a service from which this instance is found to be cut off
 * @param connector - opens the connections to endpoints
 * @param log - receives the beginning and the end of cuts, and callers that are cut off
 * @returns the connections, none of which is open yet
 */
export const startUpstreams = (
    view: () => FleetView,
    onCutOff: (endpoint: UpstreamEndpoint) => void,
    connector: UpstreamConnector,
    log: Log,
): Upstreams => {
    const tracker = createEndpointTracker();
    const memory = createResponseMemory(RESPONSE_MEMORY_BYTES, (bytes, idleMs) => {
        log("warn", "slow-caller-cut", { bytes, idleMs: Math.round(idleMs) });
    });
    const pool = createUpstreamPool(connector, memory);
    const relayPool = createUpstreamPool(createUpstreamConnector(), memory);
    const listEndpoints = (service: string): readonly UpstreamEndpoint[] =>
        view().endpointsByService.get(service) ?? [];
    const onChange = (service: string, isCut: boolean): void => {
        if (isCut) {
            listEndpoints(service).forEach(onCutOff);
            return;
        }
        for (const { id } of listEndpoints(service)) {
            tracker.recordHealthEvent(id, { kind: "links-restored" });
        }
    };
    const isBusy = (service: string): boolean =>
        listEndpoints(service).some(({ id }) => tracker.inFlightAt(id) > 0);
    const reach = createReachMonitor({ view, isBusy, connector, onChange, log });
    return {
        tracker,
        pool,
        relayPool,
        responseMemory: memory,
        reach,
        stop: async () => {
            reach.stop();
            await Promise.all([pool.close(), relayPool.close()]);
        },
    };
};
