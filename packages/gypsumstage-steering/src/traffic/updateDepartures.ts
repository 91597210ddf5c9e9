import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { Departure } from "./Departure.js";
import { listRecordsInForce } from "./listRecordsInForce.js";
import type { TopicState } from "./TopicState.js";

/** Departures that are remembered; the oldest are forgotten first. */
const MAX_DEPARTURES = 1_000;

/** Creates the departure of an endpoint; one that was hidden as departed is still the same departure. */
const createDeparture = (endpoint: UpstreamEndpoint, known: Departure | undefined): Departure =>
    known?.startedAt === endpoint.startedAt
        ? known
        : { startedAt: endpoint.startedAt, wasAnnounced: endpoint.isDraining };

/**
 * Updates which endpoints are remembered as gone after the records of a topic changed.
 *
 * @param before - the topic before the change
 * @param after - the topic after the change
 * @returns the departures
 */
export const updateDepartures = (before: TopicState, after: TopicState): TopicState["departures"] => {
    const inForce = listRecordsInForce(after);
    const departures = new Map(before.departures);
    for (const name of before.departures.keys()) {
        if (inForce.has(name) && !after.carried.has(name)) {
            departures.delete(name);
        }
    }
    for (const [name, { value }] of listRecordsInForce(before)) {
        if (value.kind === "endpoint" && !inForce.has(name)) {
            departures.delete(name);
            departures.set(name, createDeparture(value.endpoint, before.departures.get(name)));
        }
    }
    const excess = Math.max(0, departures.size - MAX_DEPARTURES);
    for (const name of [...departures.keys()].slice(0, excess)) {
        departures.delete(name);
    }
    return departures;
};
