import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { findStoreAge } from "@gypsumstage/steering/traffic/findStoreAge";
import { listRejectedPolicies } from "@gypsumstage/steering/traffic/listRejectedPolicies";
import type { Admission } from "./admission/Admission.js";
import type { Coordination } from "./Coordination.js";
import type { FleetState } from "./FleetState.js";
import type { InstanceGauges } from "./InstanceGauges.js";
import type { KeyConfirmation } from "./keys/KeyConfirmation.js";
import type { PeerExchange } from "./peers/PeerExchange.js";
import type { RetryBudget } from "./request/RetryBudget.js";
import type { RequestServers } from "./RequestServers.js";
import { summarizeEndpointLoads } from "./upstream/summarizeEndpointLoads.js";
import type { Upstreams } from "./upstream/Upstreams.js";

/** What the gauges are read from. */
interface GaugeParts {
    readonly fleet: Pick<FleetState, "view" | "topics">;
    /** Time since this instance last read the store, in milliseconds; undefined when it doesn't follow the store. */
    readonly storeAgeMs: number | undefined;
    /** Age of this instance's copies, in milliseconds; undefined when they were never confirmed. */
    readonly copyAgeMs: number | undefined;
    readonly upstreams: Pick<Upstreams, "tracker" | "reach" | "responseMemory">;
    readonly peers: Pick<PeerExchange, "live">;
    readonly servers: Pick<RequestServers, "inFlight">;
    readonly keyConfirmation: Pick<KeyConfirmation, "ageMs">;
    readonly retryBudget: Pick<RetryBudget, "remaining">;
    readonly admission: Pick<Admission, "lengths">;
    readonly coordination: Pick<Coordination, "suspects">;
}

/**
 * Reads the gauges of an instance.
 *
 * @param parts - the running parts of the instance
 * @returns the values
 */
export const readInstanceGauges = (parts: GaugeParts): InstanceGauges => {
    const { fleet, upstreams, peers } = parts;
    const view = fleet.view();
    const live = peers.live();
    return {
        policyVersion: view.policy?.version,
        endpoints: view.endpoints.size,
        livePeers: live.length,
        inFlight: parts.servers.inFlight(),
        storeAgeMs: findStoreAge(parts.storeAgeMs, live, monotonicNow()),
        copyAgeMs: parts.copyAgeMs,
        policyConfirmationAgeMs: parts.keyConfirmation.ageMs(),
        isPolicyRejected: listRejectedPolicies(fleet.topics.policy.get()).length > 0,
        retriesLeft: parts.retryBudget.remaining(),
        queued: parts.admission.lengths(),
        cutServices: upstreams.reach.cutServices().length,
        endpointLoads: summarizeEndpointLoads(view, upstreams.tracker.loads),
        responseBytes: upstreams.responseMemory.usedBytes(),
        cutCallers: upstreams.responseMemory.cutCallers(),
        suspectRequests: parts.coordination.suspects.size(),
    };
};
