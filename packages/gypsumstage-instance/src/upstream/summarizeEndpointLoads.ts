import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { LoadSummary } from "@gypsumstage/steering/traffic/LoadSummary";
import { summarizeLoads } from "@gypsumstage/steering/traffic/summarizeLoads";
import type { EndpointLoads } from "./EndpointLoads.js";

/**
 * Summarizes the loads that endpoints stated.
 *
 * @param view - the fleet view
 * @param loads - the newest load of each endpoint
 * @returns the summaries by service; services whose endpoints stated none are left out
 */
export const summarizeEndpointLoads = (
    view: Pick<FleetView, "endpointsByService">,
    loads: EndpointLoads,
): ReadonlyMap<string, LoadSummary> => {
    const nowMs = monotonicNow();
    const summaries = new Map<string, LoadSummary>();
    for (const [service, endpoints] of view.endpointsByService) {
        const figures = endpoints.map(({ id }) => loads.figure(id)).filter(figure => figure !== undefined);
        if (figures.length > 0) {
            summaries.set(service, summarizeLoads(figures, nowMs));
        }
    }
    return summaries;
};
