import assert from "node:assert/strict";
import { test } from "node:test";
import { HOME_PLACES } from "../../../traffic/HOME_PLACES.js";
import type { Placement } from "../../../traffic/Placement.js";
import type { PlacementOption } from "../../../traffic/PlacementOption.js";
import { placeRequest } from "../../../traffic/placeRequest.js";
import { rankEndpoints } from "../../../traffic/rankEndpoints.js";
import { createEndpoint } from "./createEndpoint.js";

const ENDPOINTS = 14;
const SLOTS = 6;
const OBJECTS = 240;
/** Objects whose data an endpoint keeps. */
const KEPT = 36;
const WARM_MS = 160;
const COLD_MS = 540;
const TICK_MS = 10;
/** Requests a second in the peak: without warm data the slots cannot carry them. */
const PEAK_PER_S = 300;
/** Requests a second after it. */
const USUAL_PER_S = 200;
const PHASE_MS = 15_000;

interface Simulated {
    readonly kept: string[];
    readonly running: { readonly key: string; endsAt: number; }[];
    readonly waiting: string[];
}

type Choose = (key: string, fleet: ReadonlyMap<string, Simulated>) => string | undefined;

const endpoints = Array.from({ length: ENDPOINTS }, (_, index) => createEndpoint(`e${index}`));

const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return state / 2 ** 32;
    };
};

const startWaiting = (
    endpoint: Simulated,
    now: number,
): { readonly warm: number; readonly cold: number; } => {
    let warm = 0;
    let cold = 0;
    while (endpoint.running.length < SLOTS && endpoint.waiting.length > 0) {
        const key = endpoint.waiting.shift() ?? "";
        const at = endpoint.kept.indexOf(key);
        const isWarm = at >= 0;
        if (isWarm) {
            endpoint.kept.splice(at, 1);
        }
        endpoint.kept.push(key);
        endpoint.kept.splice(0, Math.max(0, endpoint.kept.length - KEPT));
        endpoint.running.push({ key, endsAt: now + (isWarm ? WARM_MS : COLD_MS) });
        warm += isWarm ? 1 : 0;
        cold += isWarm ? 0 : 1;
    }
    return { warm, cold };
};

/** Plays a peak and the usual load after it; returns the share of work on warm data in the last third. */
const playPeak = (choose: Choose): number => {
    const random = createRandom(7);
    const fleet = new Map(
        endpoints.map(({ id }): [string, Simulated] => [id, { kept: [], running: [], waiting: [] }]),
    );
    const late = { warm: 0, cold: 0 };
    let owed = 0;
    for (let now = 0; now < 2 * PHASE_MS; now += TICK_MS) {
        owed += (now < PHASE_MS ? PEAK_PER_S : USUAL_PER_S) * TICK_MS / 1_000;
        for (; owed >= 1; owed--) {
            const key = `k${Math.floor(random() * OBJECTS)}`;
            const chosen = fleet.get(choose(key, fleet) ?? "");
            chosen?.waiting.push(key);
        }
        for (const endpoint of fleet.values()) {
            const left = endpoint.running.filter(work => work.endsAt > now);
            endpoint.running.splice(0, endpoint.running.length, ...left);
            const started = startWaiting(endpoint, now);
            if (now > PHASE_MS * 5 / 3) {
                late.warm += started.warm;
                late.cold += started.cold;
            }
        }
    }
    return late.warm / (late.warm + late.cold);
};

const load = (endpoint: Simulated | undefined): number =>
    (endpoint?.running.length ?? 0) + (endpoint?.waiting.length ?? 0);

const chooseLeastLoaded: Choose = (_key, fleet) =>
    [...fleet].sort(([, left], [, right]) => load(left) - load(right))[0]?.[0];

const chooseByObject: Choose = (key, fleet) => {
    const options = rankEndpoints(key, endpoints, "kutch", 1).map((place, index): PlacementOption => ({
        id: place.id,
        region: place.region,
        slots: place.slots,
        inFlight: load(fleet.get(place.id)),
        isWarm: index === 0,
        isHome: index < HOME_PLACES,
        slowness: 1,
        errorShare: 0,
        roundTripMs: 2,
    }));
    const placement: Placement = placeRequest(options, WARM_MS, 3_000);
    return placement.kind === "placed" ? placement.id : undefined;
};

test("a peak over cold endpoints ends in lasting collapse when work is spread by load alone", () => {
    assert.ok(playPeak(chooseLeastLoaded) < 0.4);
});

test("placement by object finds the way back to warm work after the same peak", () => {
    const share = playPeak(chooseByObject);
    assert.ok(share > 0.9, String(share));
});
