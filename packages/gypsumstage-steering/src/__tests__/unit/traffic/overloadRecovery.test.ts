import assert from "node:assert/strict";
import { test } from "node:test";
import { placeByEstimate } from "../../../traffic/placeByEstimate.js";
import type { Placement } from "../../../traffic/Placement.js";
import type { PlacementCandidate } from "../../../traffic/PlacementCandidate.js";
import { placeRequest } from "../../../traffic/placeRequest.js";
import { PRIMARY_SIDE_CANDIDATES } from "../../../traffic/PRIMARY_SIDE_CANDIDATES.js";
import { rankEndpoints } from "../../../traffic/rankEndpoints.js";
import { createEndpoint } from "./createEndpoint.js";

const ENDPOINTS = 14;
const SLOTS = 6;
const OBJECTS = 240;
/** Objects whose data an endpoint keeps in its cache. */
const CACHE_CAPACITY_OBJECTS = 36;
const WARM_MS = 160;
const COLD_MS = 540;
const TICK_MS = 10;
/** Load of the peak, in requests per second; on cold data it exceeds the capacity of the slots. */
const PEAK_LOAD_PER_S = 300;
/** Load after the peak, in requests per second. */
const BASE_LOAD_PER_S = 200;
const PHASE_MS = 15_000;

interface SimulatedEndpoint {
    readonly cached: string[];
    readonly running: { readonly key: string; endsAtMs: number; }[];
    readonly waiting: string[];
}

type Choose = (key: string, fleet: ReadonlyMap<string, SimulatedEndpoint>) => string | undefined;

const endpoints = Array.from({ length: ENDPOINTS }, (_, index) => createEndpoint(`e${index}`));

const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return state / 2 ** 32;
    };
};

const startWaiting = (
    endpoint: SimulatedEndpoint,
    nowMs: number,
): { readonly warm: number; readonly cold: number; } => {
    let warm = 0;
    let cold = 0;
    while (endpoint.running.length < SLOTS && endpoint.waiting.length > 0) {
        const key = endpoint.waiting.shift() ?? "";
        const cacheIndex = endpoint.cached.indexOf(key);
        const isWarm = cacheIndex >= 0;
        if (isWarm) {
            endpoint.cached.splice(cacheIndex, 1);
        }
        endpoint.cached.push(key);
        endpoint.cached.splice(0, Math.max(0, endpoint.cached.length - CACHE_CAPACITY_OBJECTS));
        endpoint.running.push({ key, endsAtMs: nowMs + (isWarm ? WARM_MS : COLD_MS) });
        warm += isWarm ? 1 : 0;
        cold += isWarm ? 0 : 1;
    }
    return { warm, cold };
};

/**
 * Simulates a peak and the base load after it; returns the share of requests that start on warm data in the last third
 * of the time after the peak.
 */
const simulatePeak = (choose: Choose): number => {
    const random = createRandom(7);
    const fleet = new Map(
        endpoints.map((
            { id },
        ): [string, SimulatedEndpoint] => [id, { cached: [], running: [], waiting: [] }]),
    );
    const lateStarts = { warm: 0, cold: 0 };
    let pendingArrivals = 0;
    for (let nowMs = 0; nowMs < 2 * PHASE_MS; nowMs += TICK_MS) {
        pendingArrivals += (nowMs < PHASE_MS ? PEAK_LOAD_PER_S : BASE_LOAD_PER_S) * TICK_MS / 1_000;
        for (; pendingArrivals >= 1; pendingArrivals--) {
            const key = `k${Math.floor(random() * OBJECTS)}`;
            const chosen = fleet.get(choose(key, fleet) ?? "");
            chosen?.waiting.push(key);
        }
        for (const endpoint of fleet.values()) {
            const unfinished = endpoint.running.filter(work => work.endsAtMs > nowMs);
            endpoint.running.splice(0, endpoint.running.length, ...unfinished);
            const started = startWaiting(endpoint, nowMs);
            if (nowMs > PHASE_MS * 5 / 3) {
                lateStarts.warm += started.warm;
                lateStarts.cold += started.cold;
            }
        }
    }
    return lateStarts.warm / (lateStarts.warm + lateStarts.cold);
};

const load = (endpoint: SimulatedEndpoint | undefined): number =>
    (endpoint?.running.length ?? 0) + (endpoint?.waiting.length ?? 0);

const chooseLeastLoaded: Choose = (_key, fleet) =>
    [...fleet].sort(([, left], [, right]) => load(left) - load(right))[0]?.[0];

const chooseByObject: Choose = (key, fleet) => {
    const candidates = rankEndpoints(key, endpoints, "kutch", 1).map((
        endpoint,
        index,
    ): PlacementCandidate => ({
        id: endpoint.id,
        region: endpoint.region,
        slots: endpoint.slots,
        inFlight: load(fleet.get(endpoint.id)),
        isWarm: index === 0,
        isOnPrimarySide: index < PRIMARY_SIDE_CANDIDATES,
        slowness: 1,
        errorShare: 0,
        roundTripMs: 2,
    }));
    const placement: Placement = placeRequest(candidates, WARM_MS, 3_000);
    return placement.kind === "placed" ? placement.id : undefined;
};

/** Further candidates are offered as an instance does by stated loads. */
const chooseByEstimate: Choose = (key, fleet) => {
    const candidates = rankEndpoints(key, endpoints, "kutch", 1, { primarySide: 6, otherSide: 0 });
    const placement: Placement = placeByEstimate(
        candidates.map(({ id, region, slots }, index) => ({
            id,
            region,
            slots,
            inFlight: load(fleet.get(id)),
            newInFlight: 1,
            deviation: 1,
            isWarm: index === 0,
            isOnPrimarySide: true,
            isFurther: index >= PRIMARY_SIDE_CANDIDATES,
            workMs: WARM_MS,
            queueWorkMs: COLD_MS,
            slowness: 1,
            errorShare: 0,
            roundTripMs: 2,
        })),
        3_000,
        createRandom(load(fleet.get(candidates[0]?.id ?? ""))),
    );
    return placement.kind === "placed" ? placement.id : undefined;
};

test("a peak on cold endpoints leads to lasting overload when requests are placed by load alone", () => {
    assert.ok(simulatePeak(chooseLeastLoaded) < 0.4);
});

test("placement by object returns to warm data after the same peak", () => {
    const share = simulatePeak(chooseByObject);
    assert.ok(share > 0.9, String(share));
});

test("further candidates for full usual ones do not evict so much that work stays cold after the peak", () => {
    const share = simulatePeak(chooseByEstimate);
    assert.ok(share > 0.9, String(share));
});
