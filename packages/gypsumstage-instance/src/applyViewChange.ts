import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { Coordination } from "./Coordination.js";
import { findColdPeriods } from "./findColdPeriods.js";
import { listReplaced } from "./listReplaced.js";
import { listRestarted } from "./listRestarted.js";
import type { EndpointTracker } from "./upstream/EndpointTracker.js";

/**
 * Tells the parts that remember endpoints which of them have been restarted, replaced or removed, and which are cold.
 *
 * @param before - the view so far
 * @param view - the new view
 * @param tracker - the health of the endpoints
 * @param coordination - what instances decide together about endpoints
 */
export const applyViewChange = (
    before: FleetView,
    view: FleetView,
    tracker: Pick<EndpointTracker, "forget" | "recordHealthEvent" | "keepOnly">,
    coordination: Pick<Coordination, "suspects" | "rateLimits" | "departures">,
): void => {
    const nowMs = monotonicNow();
    listRestarted(before, view).forEach(tracker.forget);
    listReplaced(before, view).forEach(coordination.suspects.recordReplaced);
    for (const [id, coldMs] of findColdPeriods(before, view)) {
        tracker.recordHealthEvent(id, { kind: "cold", untilMs: nowMs + coldMs });
    }
    tracker.keepOnly(view.endpoints);
    coordination.rateLimits.keepOnly(view.endpoints);
    coordination.departures.keepOnly(view.endpoints);
};
