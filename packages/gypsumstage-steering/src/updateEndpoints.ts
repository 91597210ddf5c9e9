import type { EndpointEvent } from "./EndpointEvent.js";
import type { EndpointState } from "./EndpointState.js";

const SLOWED_LATENCY_RATIO = 3;
const RECOVERED_LATENCY_RATIO = 1.5;
const SAMPLE_WEIGHT = 0.3;
const MAX_LATENCY_RATIO = 20;
const PROBE_PERIOD_MS = 1_000;

type Listed = Extract<EndpointEvent, { readonly kind: "listed"; }>["endpoints"][number];

const mergeListed = (current: EndpointState | undefined, listed: Listed): EndpointState => {
    if (current === undefined || current.launch !== listed.launch) {
        return {
            ...listed,
            inFlight: 0,
            inFlightLong: 0,
            slowness: 1,
            isSlowed: false,
            probeAtMs: 0,
            blockedUntilMs: 0,
            hasSignalled: false,
        };
    }
    // A lagging list must not give new work to an endpoint that has signalled that it is leaving.
    return { ...current, ...listed, isLeaving: current.hasSignalled || listed.isLeaving };
};

const retainBusy = (
    current: readonly EndpointState[],
    listed: readonly Listed[],
): readonly EndpointState[] => {
    const names = new Set(listed.map(each => each.name));
    return current
        .filter(endpoint => endpoint.inFlight > 0 && !names.has(endpoint.name))
        .map(endpoint => ({ ...endpoint, ownSlots: 0, extraSlots: 0, isLeaving: true }));
};

const recordLatency = (endpoint: EndpointState, ratio: number): EndpointState => {
    const sample = Math.min(ratio, MAX_LATENCY_RATIO);
    const slowness = endpoint.slowness + SAMPLE_WEIGHT * (sample - endpoint.slowness);
    const isSlowed = slowness > SLOWED_LATENCY_RATIO
        || (endpoint.isSlowed && slowness > RECOVERED_LATENCY_RATIO);
    return { ...endpoint, slowness, isSlowed };
};

const acquireSlot = (endpoint: EndpointState, isLong: boolean, nowMs: number): EndpointState => ({
    ...endpoint,
    inFlight: endpoint.inFlight + 1,
    inFlightLong: endpoint.inFlightLong + (isLong ? 1 : 0),
    probeAtMs: endpoint.isSlowed ? nowMs + PROBE_PERIOD_MS : endpoint.probeAtMs,
});

const releaseSlot = (endpoint: EndpointState, isLong: boolean): EndpointState => ({
    ...endpoint,
    inFlight: Math.max(0, endpoint.inFlight - 1),
    inFlightLong: Math.max(0, endpoint.inFlightLong - (isLong ? 1 : 0)),
});

const updateEndpoint = (
    endpoint: EndpointState,
    event: Exclude<EndpointEvent, { readonly kind: "listed"; }>,
): EndpointState => {
    switch (event.kind) {
        case "acquired":
            return acquireSlot(endpoint, event.length === "long", event.nowMs);
        case "released":
            return endpoint.launch === event.launch
                ? releaseSlot(endpoint, event.length === "long")
                : endpoint;
        case "observed":
            return recordLatency(endpoint, event.ratio);
        case "blocked":
            return { ...endpoint, blockedUntilMs: event.untilMs };
        case "left":
            return endpoint.launch === event.launch
                ? { ...endpoint, isLeaving: true, hasSignalled: true }
                : endpoint;
    }
};

/**
 * Applies an event to the endpoint states of an entry. An endpoint that is no longer listed is kept, without slots,
 * while it has requests in flight.
 *
 * @param state - the endpoint states before the event
 * @param event - the event to apply
 * @returns the endpoint states after the event
 */
export const updateEndpoints = (
    state: readonly EndpointState[],
    event: EndpointEvent,
): readonly EndpointState[] => {
    if (event.kind === "listed") {
        const current = new Map(state.map(endpoint => [endpoint.name, endpoint]));
        return [
            ...event.endpoints.map(listed => mergeListed(current.get(listed.name), listed)),
            ...retainBusy(state, event.endpoints),
        ];
    }
    const index = state.findIndex(endpoint => endpoint.name === event.name);
    const endpoint = state[index];
    return endpoint === undefined ? state : state.with(index, updateEndpoint(endpoint, event));
};
