import type { AdmissionRequest } from "../../../traffic/AdmissionRequest.js";
import { computeAdmissionRetryAfter } from "../../../traffic/computeAdmissionRetryAfter.js";
import type { DecayingCount } from "../../../traffic/DecayingCount.js";
import { decideAdmission } from "../../../traffic/decideAdmission.js";
import { holdBackPlacement } from "../../../traffic/holdBackPlacement.js";
import { limitEndpointQueue } from "../../../traffic/limitEndpointQueue.js";
import { orderAdmissions } from "../../../traffic/orderAdmissions.js";
import type { PlacementCandidate } from "../../../traffic/PlacementCandidate.js";
import { placeRequest } from "../../../traffic/placeRequest.js";
import { PRIMARY_SIDE_CANDIDATES } from "../../../traffic/PRIMARY_SIDE_CANDIDATES.js";
import { rankEndpoints } from "../../../traffic/rankEndpoints.js";
import { readDecayingCount } from "../../../traffic/readDecayingCount.js";
import { createEndpoint } from "./createEndpoint.js";
import type { LoadKind } from "./LoadKind.js";
import type { OverloadCase } from "./OverloadCase.js";
import type { OverloadPolicy } from "./OverloadPolicy.js";
import type { OverloadResult } from "./OverloadResult.js";

const INSTANCES = 8;
const SLOTS = 4;
const MAX_QUEUE = 12;
/** Objects whose data an endpoint keeps. */
const CACHED_OBJECTS = 24;
const WARM_FACTOR = 0.3;
const TYPICAL_WARM_MS = 330;
const REPORT_INTERVAL_MS = 300;
const REJECTED_RETRY_AFTER_MS = 200;
const RESTART_MS = 1_000;
const OBJECTS_PER_WORKSPACE = 6;
const TICK_MS = 10;
const USE_DECAY_MS = 10_000;
const START_RATE_DECAY_MS = 2_000;

interface Request extends AdmissionRequest {
    readonly kind: LoadKind;
    readonly object: string;
    readonly home: Instance;
    readonly leavesAtMs: number;
    retries: number;
    servedAtMs: number | undefined;
}

interface Endpoint {
    cached: readonly string[];
    running: readonly { readonly request: Request; readonly endsAtMs: number; }[];
    waiting: Request[];
}

interface Instance {
    waiting: Request[];
    inFlight: Map<string, number>;
    sent: Map<string, readonly string[]>;
    use: Map<string | undefined, DecayingCount>;
    starts: DecayingCount | undefined;
}

const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return state / 2 ** 32;
    };
};

const createInstance = (): Instance => ({
    waiting: [],
    inFlight: new Map(),
    sent: new Map(),
    use: new Map(),
    starts: undefined,
});

const addRecent = (list: readonly string[], object: string): readonly string[] =>
    [object, ...list.filter(each => each !== object)].slice(0, CACHED_OBJECTS);

const increase = (counts: Map<string, number>, id: string, change: number): void => {
    counts.set(id, (counts.get(id) ?? 0) + change);
};

const shareOf = (part: readonly Request[], all: readonly Request[]): number =>
    part.length / Math.max(1, all.length);

const summarize = (load: OverloadCase, requests: readonly Request[]): OverloadResult => {
    const isServed = (request: Request): boolean => request.servedAtMs !== undefined;
    const shareServed = (of: readonly Request[]): number => shareOf(of.filter(isServed), of);
    const byWorkspace = load.workspaces
        .map((_, index) => shareServed(requests.filter(each => each.workspace === `w${index}`)))
        .sort((left, right) => left - right);
    const worst = byWorkspace.slice(0, Math.max(1, Math.round(byWorkspace.length / 10)));
    const worstMean = worst.reduce((sum, each) => sum + each, 0) / worst.length;
    return {
        onTime: shareOf(requests.filter(each => (each.servedAtMs ?? Infinity) <= each.targetAtMs), requests),
        served: shareServed(requests),
        servedByKind: Object.fromEntries(
            load.kinds.map(kind => [kind.name, shareServed(requests.filter(each => each.kind === kind))]),
        ),
        worstWorkspaces: worstMean / Math.max(0.001, shareServed(requests)),
    };
};

/**
 * Replays a load on a small model: instances that know the others' load from reports, and endpoints whose slots
 * have a first-come queue and do the work on an object that they lately worked on in a fraction of the time.
 *
 * @param load - the load
 * @param policy - how the instances send the requests
 * @param endpointCount - number of endpoints
 * @returns what came of the requests
 */
export const simulateOverload = (
    load: OverloadCase,
    policy: OverloadPolicy,
    endpointCount: number,
): OverloadResult => {
    const random = createRandom(11);
    const specs = Array.from(
        { length: endpointCount },
        (_, index) => createEndpoint(`e${index}`, { slots: SLOTS }),
    );
    const endpoints = new Map<string, Endpoint>(
        specs.map(({ id }) => [id, { cached: [], running: [], waiting: [] }]),
    );
    const instances = Array.from({ length: INSTANCES }, createInstance);
    const ranked = new Map<string, readonly string[]>();
    const requests: Request[] = [];
    const returning: { readonly request: Request; readonly atMs: number; }[] = [];
    const rule = { mostUrgent: Math.min(...load.kinds.map(kind => kind.priority)) };
    let reports: readonly ReadonlyMap<string, number>[] = instances.map(() => new Map());
    let nowMs = 0;

    const listCandidates = ({ object, home }: Request): readonly PlacementCandidate[] => {
        const ids = ranked.get(object) ?? rankEndpoints(object, specs, "kutch", 1).map(({ id }) => id);
        ranked.set(object, ids);
        const isWarm = (id: string): boolean => home.sent.get(id)?.includes(object) ?? false;
        const isAnyWarm = ids.some(isWarm);
        const others = (id: string): number =>
            reports.reduce(
                (sum, report, index) => instances[index] === home ? sum : sum + (report.get(id) ?? 0),
                0,
            );
        return ids.map((id, index) => ({
            id,
            region: "kutch",
            slots: SLOTS,
            inFlight: (home.inFlight.get(id) ?? 0) + others(id),
            isOnPrimarySide: index < PRIMARY_SIDE_CANDIDATES,
            isWarm: isWarm(id) || (index === 0 && !isAnyWarm),
            roundTripMs: 2,
            slowness: 1,
            errorShare: 0,
        }));
    };
    const refuse = (request: Request, retryAfterMs: number): void => {
        const remainingMs = request.deadlineAtMs - nowMs;
        const atOnce = load.retry === "three-at-once";
        if (request.retries < (atOnce ? 3 : 1) && remainingMs > 0) {
            request.retries += 1;
            returning.push({
                request,
                atMs: nowMs + (atOnce ? TICK_MS : Math.min(retryAfterMs, remainingMs / 3)),
            });
        }
    };
    const send = (request: Request, id: string): void => {
        const endpoint = endpoints.get(id);
        if (endpoint === undefined || endpoint.waiting.length >= MAX_QUEUE || load.shedsAt?.(nowMs)) {
            const remainingMs = request.deadlineAtMs - nowMs;
            const spreadMs = computeAdmissionRetryAfter(remainingMs, remainingMs, random());
            refuse(request, policy === "admission" ? spreadMs : REJECTED_RETRY_AFTER_MS);
            return;
        }
        const { home } = request;
        endpoint.waiting.push(request);
        increase(home.inFlight, id, 1);
        home.sent.set(id, addRecent(home.sent.get(id) ?? [], request.object));
        const use = readDecayingCount(home.use.get(request.workspace), nowMs, USE_DECAY_MS);
        home.use.set(request.workspace, { amount: use + 1, atMs: nowMs });
        home.starts = {
            amount: readDecayingCount(home.starts, nowMs, START_RATE_DECAY_MS) + 1,
            atMs: nowMs,
        };
    };
    const arrive = (request: Request): void => {
        const candidates = listCandidates(request);
        if (policy === "admission") {
            request.home.waiting.push(request);
        }
        else if (policy === "first-come") {
            const best = [...candidates].sort((left, right) => left.inFlight - right.inFlight)[0];
            send(request, best?.id ?? "");
        }
        else {
            const placement = placeRequest(candidates, TYPICAL_WARM_MS, request.deadlineAtMs - nowMs);
            if (placement.kind === "placed") {
                send(request, placement.id);
            }
            else {
                refuse(request, placement.kind === "no-room" ? placement.retryAfterMs : 500);
            }
        }
    };
    const admit = (instance: Instance): void => {
        const present = instance.waiting.filter(request => request.leavesAtMs > nowMs);
        const readUse = (workspace: string | undefined): number =>
            readDecayingCount(instance.use.get(workspace), nowMs, USE_DECAY_MS);
        instance.waiting = [];
        for (const request of orderAdmissions(present, rule, readUse, TYPICAL_WARM_MS, nowMs)) {
            const candidates = listCandidates(request);
            const decision = decideAdmission(request, {
                ahead: instance.waiting.length,
                startsPerSecond: readDecayingCount(instance.starts, nowMs, START_RATE_DECAY_MS)
                    / START_RATE_DECAY_MS * 1_000,
                workMs: TYPICAL_WARM_MS,
                nowMs,
                random: random(),
            });
            const placement = decision.kind === "place"
                ? holdBackPlacement(
                    placeRequest(candidates, TYPICAL_WARM_MS, request.deadlineAtMs - nowMs),
                    candidates,
                    limitEndpointQueue(rule, request, TYPICAL_WARM_MS, nowMs),
                )
                : undefined;
            if (decision.kind === "refuse") {
                refuse(request, decision.retryAfterMs);
            }
            else if (placement?.kind === "placed") {
                send(request, placement.id);
            }
            else {
                instance.waiting.push(request);
            }
        }
    };
    const work = (endpoint: Endpoint, id: string): void => {
        for (const { request, endsAtMs } of endpoint.running.filter(each => each.endsAtMs <= nowMs)) {
            increase(request.home.inFlight, id, -1);
            if (endsAtMs <= request.leavesAtMs) {
                request.servedAtMs = endsAtMs;
            }
        }
        const running = endpoint.running.filter(each => each.endsAtMs > nowMs);
        while (running.length < SLOTS && endpoint.waiting.length > 0) {
            const request = endpoint.waiting.shift();
            if (request !== undefined && request.leavesAtMs <= nowMs) {
                increase(request.home.inFlight, id, -1);
            }
            else if (request !== undefined) {
                const factor = endpoint.cached.includes(request.object) ? WARM_FACTOR : 1;
                endpoint.cached = addRecent(endpoint.cached, request.object);
                running.push({
                    request,
                    endsAtMs: nowMs + request.kind.workMs * factor * (0.6 + 0.8 * random()),
                });
            }
        }
        endpoint.running = running;
    };
    const chooseWorkspace = (): number => {
        let left = random() * load.workspaces.reduce((sum, each) => sum + each, 0);
        return Math.max(0, load.workspaces.findIndex(weight => (left -= weight) < 0));
    };
    const createRequest = (kind: LoadKind): Request => {
        const workspace = `w${chooseWorkspace()}`;
        return {
            kind,
            priority: kind.priority,
            workspace,
            object: `${workspace}/${Math.floor(random() * OBJECTS_PER_WORKSPACE)}`,
            home: instances[Math.floor(random() * INSTANCES)] ?? createInstance(),
            arrivedAtMs: nowMs,
            targetAtMs: nowMs + kind.targetMs,
            deadlineAtMs: nowMs + kind.deadlineMs,
            leavesAtMs: nowMs + Math.min(kind.deadlineMs, load.patienceMs ?? Infinity),
            retries: 0,
            servedAtMs: undefined,
        };
    };
    for (; nowMs < load.durationMs; nowMs += TICK_MS) {
        const restartedMs = nowMs - (load.restartAtMs ?? Infinity);
        const isDown = restartedMs >= 0 && restartedMs < RESTART_MS;
        if (restartedMs === 0) {
            // The endpoints drop the requests whose connections are gone.
            instances.forEach(instance => Object.assign(instance, createInstance()));
            endpoints.forEach(endpoint => {
                endpoint.running = [];
                endpoint.waiting = [];
            });
        }
        const due = returning.filter(each => each.atMs <= nowMs).map(each => each.request);
        returning.splice(0, returning.length, ...returning.filter(each => each.atMs > nowMs));
        for (const kind of load.kinds) {
            const rate = kind.perSecond * load.demandFactor(nowMs) * TICK_MS / 1_000;
            for (let left = rate + random(); left >= 1; left--) {
                due.push(createRequest(kind));
            }
        }
        requests.push(...due.filter(request => request.retries === 0));
        due.filter(request => request.leavesAtMs > nowMs)
            .forEach(request => isDown ? refuse(request, 500) : arrive(request));
        if (policy === "admission" && nowMs % 30 === 0) {
            instances.forEach(admit);
        }
        endpoints.forEach(work);
        if (nowMs % REPORT_INTERVAL_MS === 0) {
            const hasReports = load.hasReports?.(nowMs) ?? true;
            reports = instances.map(instance => hasReports ? new Map(instance.inFlight) : new Map());
        }
    }
    return summarize(load, requests);
};
