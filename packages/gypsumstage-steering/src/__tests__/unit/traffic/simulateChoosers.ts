import { estimateLoad } from "../../../traffic/estimateLoad.js";
import type { LoadFigure } from "../../../traffic/LoadFigure.js";
import { placeByEstimate } from "../../../traffic/placeByEstimate.js";
import { placeRequest } from "../../../traffic/placeRequest.js";
import { rankEndpoints } from "../../../traffic/rankEndpoints.js";
import { updateLoadFigure } from "../../../traffic/updateLoadFigure.js";
import type { ChoicePolicy } from "./ChoicePolicy.js";
import { createEndpoint } from "./createEndpoint.js";

interface Work {
    readonly chooser: number;
    readonly workMs: number;
    readonly sentAtMs: number;
}

/** A simulated day of choosers that place requests by figures of a given age. */
interface Simulation {
    readonly policy: ChoicePolicy;
    readonly choosers: number;
    readonly ageMs: number;
    readonly endpoints: number;
    readonly slots: number;
    /** Load as a share of the capacity of all slots. */
    readonly load: number;
}

/** What came of a simulation. */
interface SimulationResult {
    /** Share of the endpoints' time in which one has more requests than slots while another one idles a slot. */
    readonly overloadedShare: number;
    readonly waitP99Ms: number;
}

const TICK_MS = 10;
const DAY_MS = 30_000;
const WARM_UP_MS = 6_000;
const WORK_MS = 1_000;
const LONG_WORK_SHARE = 0.03;
const LONG_WORK_FACTOR = 7;
const DATA_CENTRES = 6;

const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return state / 2 ** 32;
    };
};

/**
 * Simulates choosers that place requests without an object by figures that are all of the given age. Each knows its own
 * requests; the present code also knows those that the choosers of its data centre, or all of up to nine, reported.
 *
 * @param simulation - the policy, the sizes and the load
 * @returns what came of it
 */
export const simulateChoosers = (simulation: Simulation): SimulationResult => {
    const { policy, choosers, ageMs, slots, load } = simulation;
    const random = createRandom(11);
    const endpoints = Array.from(
        { length: simulation.endpoints },
        (_, index) => createEndpoint(`e${index}`, { slots }),
    );
    const running = endpoints.map((): (Work & { readonly endsAtMs: number; })[] => []);
    const waiting = endpoints.map((): Work[] => []);
    const own = endpoints.map(() => new Map<number, number>());
    const figures: (readonly { readonly load: number; readonly own: ReadonlyMap<number, number>; }[])[] = [];
    const estimates = new Map<string, LoadFigure>();
    const waits: number[] = [];
    let overloaded = 0;
    let observed = 0;
    const addOwn = (endpoint: number, chooser: number, change: number): void => {
        own[endpoint]?.set(chooser, (own[endpoint].get(chooser) ?? 0) + change);
    };
    const meanWorkMs = WORK_MS * (1 + LONG_WORK_SHARE * (LONG_WORK_FACTOR - 1));
    const perTick = simulation.endpoints * slots * load * TICK_MS / meanWorkMs;
    const isReporting = (chooser: number, other: number): boolean =>
        choosers <= 9 || other % DATA_CENTRES === chooser % DATA_CENTRES;
    const candidateOf = (index: number, inFlight: number): Parameters<typeof placeRequest>[0][number] => ({
        id: String(index),
        region: "kutch",
        slots,
        inFlight,
        isWarm: true,
        isOnPrimarySide: true,
        slowness: 1,
        errorShare: 0,
        roundTripMs: 2,
    });
    const choose = (chooser: number, nowMs: number, requestId: string): number => {
        const seen = figures[0] ?? [];
        const stated = (index: number): number => seen[index]?.load ?? 0;
        const draw = (): number => Math.floor(random() * endpoints.length);
        const ownAt = (index: number): number => own[index]?.get(chooser) ?? 0;
        switch (policy) {
            case "random":
                return draw();
            case "least reported":
                return endpoints.map((_, index) => index).reduce((best, index) =>
                    stated(index) < stated(best) ? index : best
                );
            case "two choices": {
                const [first, second] = [draw(), draw()];
                return stated(second) < stated(first) ? second : first;
            }
            case "present code": {
                const ranked = rankEndpoints(requestId, endpoints, "kutch", 1).map(({ id }) =>
                    Number(id.slice(1))
                );
                const reported = (index: number): number =>
                    [...seen[index]?.own ?? []]
                        .filter(([other]) => other !== chooser && isReporting(chooser, other))
                        .reduce((sum, [, count]) => sum + count, 0);
                const placement = placeRequest(
                    ranked.map((index, rank) => ({
                        ...candidateOf(index, ownAt(index) + reported(index)),
                        isWarm: rank === 0,
                    })),
                    WORK_MS,
                    60_000,
                );
                return placement.kind === "placed" ? Number(placement.id) : ranked[0] ?? 0;
            }
            case "estimate": {
                const placement = placeByEstimate(
                    endpoints.map((_, index) => {
                        const figure = estimates.get(`${index}/${chooser}`);
                        const { inFlight, newInFlight, deviation } = figure === undefined
                            ? { inFlight: ownAt(index), newInFlight: 0, deviation: 1 }
                            : estimateLoad(figure, nowMs, ownAt(index), 0, meanWorkMs);
                        return {
                            ...candidateOf(index, inFlight),
                            newInFlight,
                            deviation,
                            isFurther: false,
                            workMs: WORK_MS,
                            queueWorkMs: meanWorkMs,
                        };
                    }),
                    60_000,
                    random,
                );
                return placement.kind === "placed" ? Number(placement.id) : draw();
            }
        }
    };
    const takeUpFigures = (chooser: number, nowMs: number): void => {
        figures[0]?.forEach((figure, index) => {
            const id = `${index}/${chooser}`;
            const stated = { running: figure.load, waiting: 0, slots, slowness: 1 };
            const next = updateLoadFigure(
                estimates.get(id),
                stated,
                nowMs - ageMs,
                figure.own.get(chooser) ?? 0,
            );
            estimates.set(id, next);
        });
    };
    let pending = 0;
    let arrivals = 0;
    for (let nowMs = 0; nowMs < DAY_MS; nowMs += TICK_MS) {
        running.forEach((works, endpoint) => {
            works.filter(work => work.endsAtMs <= nowMs).forEach(work => addOwn(endpoint, work.chooser, -1));
            works.splice(0, works.length, ...works.filter(work => work.endsAtMs > nowMs));
        });
        const loads = running.map((works, endpoint) => works.length + (waiting[endpoint]?.length ?? 0));
        figures.push(loads.map((each, endpoint) => ({
            load: each,
            own: policy === "present code" || policy === "estimate" ? new Map(own[endpoint]) : new Map(),
        })));
        while (figures.length > ageMs / TICK_MS) {
            figures.shift();
        }
        for (pending += perTick * -Math.log(1 - random()); pending >= 1; pending--) {
            const chooser = Math.floor(random() * choosers);
            if (policy === "estimate") {
                takeUpFigures(chooser, nowMs);
            }
            const endpoint = choose(chooser, nowMs, `r${arrivals++}`);
            const workMs = WORK_MS * (random() < LONG_WORK_SHARE ? LONG_WORK_FACTOR : 0.5 + random());
            waiting[endpoint]?.push({ chooser, workMs, sentAtMs: nowMs });
            addOwn(endpoint, chooser, 1);
        }
        running.forEach((works, endpoint) => {
            while (works.length < slots && (waiting[endpoint]?.length ?? 0) > 0) {
                const work = waiting[endpoint]?.shift() as Work;
                works.push({ ...work, endsAtMs: nowMs + work.workMs });
                if (nowMs > WARM_UP_MS) {
                    waits.push(nowMs - work.sentAtMs);
                }
            }
        });
        if (nowMs > WARM_UP_MS) {
            const isAnyFree = running.some(works => works.length < slots);
            overloaded += isAnyFree ? waiting.filter(works => works.length > 0).length : 0;
            observed += endpoints.length;
        }
    }
    waits.sort((left, right) => left - right);
    return { overloadedShare: overloaded / observed, waitP99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0 };
};
