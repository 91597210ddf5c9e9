import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";

/** Time for which an endpoint is treated as cold beyond the announced or configured time. */
const COLD_MARGIN_MS = 500;

/**
 * Finds the endpoints that become cold with a change of the view: those that joined or restarted, those that
 * announced a new cold time, and those of a data centre whose evacuation ended. A cold endpoint is overloaded
 * when all instances send it their full load immediately, so its load is limited while it is cold.
 *
 * @param before - the earlier view
 * @param after - the later view
 * @returns for how long each of them is cold, in milliseconds, by endpoint id
 */
export const findColdPeriods = (before: FleetView, after: FleetView): ReadonlyMap<string, number> => {
    const periods = new Map<string, number>();
    const services = new Map(after.policy?.services.map(service => [service.name, service]));
    for (const [id, endpoint] of after.endpoints) {
        const previous = before.endpoints.get(id);
        const coldStartMs = services.get(endpoint.service)?.coldStartMs ?? 0;
        const isNew = before.isComplete
            && (previous === undefined || previous.startedAt !== endpoint.startedAt);
        const isReadmitted = before.evacuatedDataCentres.has(endpoint.dataCentre)
            && !after.evacuatedDataCentres.has(endpoint.dataCentre);
        const announcedMs = previous?.coldForMs === endpoint.coldForMs
            ? 0
            : endpoint.coldForMs;
        const coldMs = Math.max(announcedMs, isNew || isReadmitted ? coldStartMs : 0);
        if (coldMs > 0) {
            periods.set(id, coldMs + COLD_MARGIN_MS);
        }
    }
    return periods;
};
