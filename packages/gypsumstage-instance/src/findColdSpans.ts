import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";

/** Time beyond the announced one for which an endpoint is treated as cold, in milliseconds. */
const MARGIN_MS = 500;

/**
 * Finds the endpoints that are cold from now on: those that joined or started again, and those of a data
 * centre that was evacuated until now. The load pattern it answers: an endpoint without warm data breaks down
 * when the work of all instances arrives at once.
 *
 * @param before - the earlier view
 * @param after - the later view
 * @returns for how long each endpoint is cold, in milliseconds, by its id
 */
export const findColdSpans = (before: FleetView, after: FleetView): ReadonlyMap<string, number> => {
    const spans = new Map<string, number>();
    const services = new Map(after.policy?.services.map(service => [service.name, service]));
    for (const [id, endpoint] of after.endpoints) {
        const known = before.endpoints.get(id);
        const coldStartMs = services.get(endpoint.service)?.coldStartMs ?? 0;
        const isNew = before.isComplete && (known === undefined || known.startedAt !== endpoint.startedAt);
        const isFreed = before.evacuated.has(endpoint.dataCentre)
            && !after.evacuated.has(endpoint.dataCentre);
        const announcedMs = known?.coldForMs === endpoint.coldForMs
            ? 0
            : endpoint.coldForMs;
        const spanMs = Math.max(announcedMs, isNew || isFreed ? coldStartMs : 0);
        if (spanMs > 0) {
            spans.set(id, spanMs + MARGIN_MS);
        }
    }
    return spans;
};
