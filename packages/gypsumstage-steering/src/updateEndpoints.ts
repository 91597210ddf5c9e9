import type { EndpointEvent } from "./EndpointEvent.js";
import type { EndpointState } from "./EndpointState.js";

const SLOWED_ABOVE = 3;
const RECOVERED_BELOW = 1.5;
const SAMPLE_WEIGHT = 0.3;
const MAX_RATIO = 20;
const PROBE_PERIOD_MS = 1_000;

type Listed = Extract<EndpointEvent, { readonly kind: "listed"; }>["endpoints"][number];

const addListed = (held: EndpointState | undefined, listed: Listed): EndpointState => {
    if (held === undefined || held.launch !== listed.launch) {
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
    // Once an endpoint has signalled that it leaves, a list that lags does not bring it back.
    return { ...held, ...listed, isLeaving: held.hasSignalled || listed.isLeaving };
};

const keepBusy = (held: readonly EndpointState[], listed: readonly Listed[]): readonly EndpointState[] => {
    const names = new Set(listed.map(each => each.name));
    return held
        .filter(endpoint => endpoint.inFlight > 0 && !names.has(endpoint.name))
        .map(endpoint => ({ ...endpoint, ownSlots: 0, extraSlots: 0, isLeaving: true }));
};

const observe = (endpoint: EndpointState, ratio: number): EndpointState => {
    const sample = Math.min(ratio, MAX_RATIO);
    const slowness = endpoint.slowness + SAMPLE_WEIGHT * (sample - endpoint.slowness);
    const isSlowed = slowness > SLOWED_ABOVE || (endpoint.isSlowed && slowness > RECOVERED_BELOW);
    return { ...endpoint, slowness, isSlowed };
};

const acquire = (endpoint: EndpointState, isLong: boolean, nowMs: number): EndpointState => ({
    ...endpoint,
    inFlight: endpoint.inFlight + 1,
    inFlightLong: endpoint.inFlightLong + (isLong ? 1 : 0),
    probeAtMs: endpoint.isSlowed ? nowMs + PROBE_PERIOD_MS : endpoint.probeAtMs,
});

const release = (endpoint: EndpointState, isLong: boolean): EndpointState => ({
    ...endpoint,
    inFlight: Math.max(0, endpoint.inFlight - 1),
    inFlightLong: Math.max(0, endpoint.inFlightLong - (isLong ? 1 : 0)),
});

const updateOne = (
    endpoint: EndpointState,
    event: Exclude<EndpointEvent, { readonly kind: "listed"; }>,
): EndpointState => {
    switch (event.kind) {
        case "acquired":
            return acquire(endpoint, event.length === "long", event.nowMs);
        case "released":
            return endpoint.launch === event.launch ? release(endpoint, event.length === "long") : endpoint;
        case "observed":
            return observe(endpoint, event.ratio);
        case "blocked":
            return { ...endpoint, blockedUntilMs: event.untilMs };
        case "left":
            return endpoint.launch === event.launch
                ? { ...endpoint, isLeaving: true, hasSignalled: true }
                : endpoint;
    }
};

/**
 * The update function of an entry's endpoints.
 *
 * @param state - the endpoints
 * @param event - what happened
 * @returns the next endpoints
 */
export const updateEndpoints = (
    state: readonly EndpointState[],
    event: EndpointEvent,
): readonly EndpointState[] => {
    if (event.kind === "listed") {
        const held = new Map(state.map(endpoint => [endpoint.name, endpoint]));
        return [
            ...event.endpoints.map(listed => addListed(held.get(listed.name), listed)),
            ...keepBusy(state, event.endpoints),
        ];
    }
    const index = state.findIndex(endpoint => endpoint.name === event.name);
    const endpoint = state[index];
    return endpoint === undefined ? state : state.with(index, updateOne(endpoint, event));
};
