import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import type { QuotaBounds } from "@gypsumstage/steering/traffic/QuotaBounds";
import { createInstanceQuota } from "../../quota/createInstanceQuota.js";
import type { InstanceQuota } from "../../quota/InstanceQuota.js";
import type { QuotaInstance } from "../../quota/QuotaInstance.js";

const STEP_MS = 10;
const DATA_CENTRES = 6;
const DATA_CENTRES_PER_REGION = 2;
const OTHER_REGION_MS = 40;
const TIMEOUT_MS = 250;
const VOTE_INTERVAL_MS = 400;
const DIVIDE_INTERVAL_MS = 300;
const BOUNDS: QuotaBounds = { windowMs: 5_000, tolerance: 0.1, burst: 20 };

/** Mulberry32: `createRandom` repeats itself too soon for the rare arrivals of many instances. */
const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state + 0x6D_2B_79_F5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};

/** Who is alive and on which side of a cut, from a time on. */
interface Reach {
    readonly fromMs: number;
    readonly sides: ReadonlyMap<string, number>;
}

interface ModelInstance extends QuotaInstance {
    readonly quota: InstanceQuota;
    readonly index: number;
    readonly region: number;
    readonly viewDelayMs: number;
    frozenUntilMs: number;
    nextVoteMs: number;
    nextDivideMs: number;
}

/** Requests of a measurement, by what came of them. */
interface Measured {
    readonly granted: number;
    readonly refused: number;
    readonly longestWaitMs: number;
    readonly retryAfterMs: readonly number[];
}

/** A fleet in virtual time that serves one workspace. */
interface QuotaModel {
    readonly names: () => readonly string[];
    /** Name of the instance that most distributors take for the issuer: the one that responded last. */
    readonly issuer: () => string | undefined;
    readonly setCap: (requestsPerSecond: number, burst: number) => void;
    /** Places instances on sides; those without a side are dead. All learn of it with their delay. */
    readonly setSides: (getSide: (index: number, name: string) => number | undefined) => void;
    readonly add: (name: string) => void;
    readonly freeze: (name: string, forMs: number) => void;
    /** Delays all messages to an instance. */
    readonly slowDown: (name: string, byMs: number) => void;
    /** Runs for a time with a demand, in requests per second, of each instance by its index. */
    readonly run: (forMs: number, getRate: (index: number) => number) => Promise<Measured>;
    /** Largest number of requests sent in a window since the given time. */
    readonly worstWindow: (sinceMs?: number) => number;
    readonly now: () => number;
}

/**
 * Creates a fleet without a network. Instances stand in six data centres of three regions; each learns 0.3 to 3.5 s late who is
 * alive, and its clock is up to 1 % fast or slow.
 *
 * @param count - number of instances
 * @param requestsPerSecond - rate of the cap
 * @param burst - burst of the cap
 * @param seed - determines the demand and the delays
 * @returns the fleet, at the moment at which all instances start
 */
export const createQuotaModel = (
    count: number,
    requestsPerSecond: number,
    burst: number,
    seed = 1,
): QuotaModel => {
    let nowMs = 0;
    let cap: Workspace = {
        name: "acme",
        keyDigests: [],
        priority: undefined,
        requestsPerSecond,
        burst,
        permittedRegions: [],
    };
    let policy = { workspaces: [cap] } as unknown as TrafficPolicy;
    let issuer: string | undefined;
    const random = createRandom(seed);
    const timers = new Map<number, (() => void)[]>();
    const instances: ModelInstance[] = [];
    const byName = new Map<string, ModelInstance>();
    const slowedByMs = new Map<string, number>();
    const reaches: Reach[] = [{ fromMs: -Infinity, sides: new Map() }];
    const sent: number[] = [];
    const sleepUntil = (atMs: number): Promise<void> =>
        new Promise(resolve => {
            const slot = Math.ceil(atMs / STEP_MS);
            timers.set(slot, [...timers.get(slot) ?? [], resolve]);
        });
    const findReach = (atMs: number): Reach => reaches.findLast(each => each.fromMs <= atMs) as Reach;
    const areConnected = (left: string, right: string, { sides } = findReach(nowMs)): boolean =>
        sides.has(left) && sides.get(left) === sides.get(right);
    const setSides = (getSide: (index: number, name: string) => number | undefined): void => {
        const sides = new Map<string, number>();
        for (const { index, name } of instances) {
            const side = getSide(index, name);
            if (side !== undefined) {
                sides.set(name, side);
            }
        }
        reaches.push({ fromMs: nowMs, sides });
    };
    const createInstance = (name: string): void => {
        const index = instances.length;
        const self: QuotaInstance = {
            name,
            dataCentre: String(index % DATA_CENTRES),
            internalAddress: name,
            isReady: true,
        };
        const region = Math.floor(index % DATA_CENTRES / DATA_CENTRES_PER_REGION);
        const viewDelayMs = 300 + random() * 3_200;
        const startDelayMs = 300 + random() * 900;
        const clockRate = 0.99 + random() * 0.02;
        const offsetMs = random() * 1_000_000;
        const startedAtMs = nowMs;
        const known = new Set<string>();
        let listed: { readonly reach?: Reach; readonly list: readonly ModelInstance[]; } = { list: [] };
        const live = (): readonly ModelInstance[] => {
            const isStarting = nowMs - startedAtMs < viewDelayMs;
            const reach = findReach(isStarting ? nowMs - startDelayMs : nowMs - viewDelayMs);
            if (reach !== listed.reach) {
                const list = instances.filter(each =>
                    each.name !== name && areConnected(name, each.name, reach)
                );
                list.forEach(each => known.add(each.name));
                listed = { reach, list };
            }
            return listed.list;
        };
        const wake = async (target: ModelInstance): Promise<void> => {
            while (target.frozenUntilMs > nowMs) {
                await sleepUntil(target.frozenUntilMs);
            }
        };
        const deliver = async (from: ModelInstance, to: ModelInstance): Promise<void> => {
            const delayMs = (from.region === to.region ? 0 : OTHER_REGION_MS)
                + (slowedByMs.get(to.name) ?? 0);
            if (delayMs > 0) {
                await sleepUntil(nowMs + delayMs);
            }
            await wake(to);
        };
        const quota = createInstanceQuota({
            self: () => self,
            runId: `${name}/${offsetMs}`,
            live,
            isSettled: () => true,
            recorded: () => [...known],
            policy: () => policy,
            bounds: () => BOUNDS,
            call: async (target, method, query) => {
                const from = byName.get(name) as ModelInstance;
                const to = byName.get(target.name) as ModelInstance;
                const refused = failure(
                    {
                        kind: "rpc-unreachable",
                        address: target.name,
                        reason: "timeout",
                    } as const,
                );
                const timeout = sleepUntil(nowMs + TIMEOUT_MS).then(() => wake(from)).then(() => refused);
                const exchange = async (): Promise<Awaited<ReturnType<typeof respond>>> => {
                    const isDelivered = areConnected(name, to.name);
                    await deliver(from, to);
                    return isDelivered && findReach(nowMs).sides.has(to.name) ? respond() : timeout;
                };
                const respond = async () => {
                    if (method === "quota.divide") {
                        issuer = to.name;
                    }
                    const value = to.quota.handlers[method](query as never);
                    await deliver(to, from);
                    return areConnected(name, to.name) ? success(value) as never : timeout;
                };
                return Promise.race([exchange(), timeout]);
            },
            now: () => offsetMs + nowMs * clockRate,
            monotonic: () => offsetMs + nowMs * clockRate,
            random,
            onDecision: () => undefined,
            log: () => undefined,
        });
        const instance: ModelInstance = {
            ...self,
            quota,
            index,
            region,
            viewDelayMs,
            frozenUntilMs: 0,
            nextVoteMs: nowMs + random() * VOTE_INTERVAL_MS,
            nextDivideMs: nowMs + random() * DIVIDE_INTERVAL_MS,
        };
        instances.push(instance);
        byName.set(name, instance);
    };
    const runTasks = (instance: ModelInstance): void => {
        if (instance.nextVoteMs <= nowMs) {
            instance.nextVoteMs = Infinity;
            void instance.quota.vote().then(() => {
                instance.nextVoteMs = nowMs + VOTE_INTERVAL_MS;
            });
        }
        if (instance.nextDivideMs <= nowMs) {
            instance.nextDivideMs = Infinity;
            void instance.quota.divide().then(() => {
                instance.nextDivideMs = nowMs + DIVIDE_INTERVAL_MS;
            });
        }
    };
    const step = async (): Promise<void> => {
        nowMs += STEP_MS;
        const slot = nowMs / STEP_MS;
        timers.get(slot)?.forEach(run => run());
        timers.delete(slot);
        await new Promise(resolve => setImmediate(resolve));
    };
    for (let index = 0; index < count; index++) {
        createInstance(`n-${index}`);
    }
    setSides(() => 0);
    return {
        names: () => instances.map(each => each.name),
        issuer: () => issuer,
        setCap: (rate, nextBurst) => {
            cap = { ...cap, requestsPerSecond: rate, burst: nextBurst };
            policy = { workspaces: [cap] } as unknown as TrafficPolicy;
        },
        setSides,
        add: name => {
            createInstance(name);
            setSides((_, each) => each === name ? 0 : findReach(nowMs).sides.get(each));
        },
        freeze: (name, forMs) => {
            (byName.get(name) as ModelInstance).frozenUntilMs = nowMs + forMs;
        },
        slowDown: (name, byMs) => slowedByMs.set(name, byMs),
        run: async (forMs, getRate) => {
            const endMs = nowMs + forMs;
            let granted = 0;
            let refused = 0;
            let longestWaitMs = 0;
            const retryAfterMs: number[] = [];
            const send = async (instance: ModelInstance): Promise<void> => {
                const arrivedMs = nowMs;
                const decision = await instance.quota.caps.take(cap);
                if (decision.kind === "exceeded") {
                    refused += 1;
                    retryAfterMs.push(decision.retryAfterMs);
                    return;
                }
                granted += 1;
                longestWaitMs = Math.max(longestWaitMs, nowMs - arrivedMs);
                const slot = Math.floor(nowMs / STEP_MS);
                sent[slot] = (sent[slot] ?? 0) + 1;
            };
            while (nowMs < endMs) {
                await step();
                const { sides } = findReach(nowMs);
                for (const instance of instances) {
                    if (sides.has(instance.name) && instance.frozenUntilMs <= nowMs) {
                        runTasks(instance);
                        const expected = getRate(instance.index) * STEP_MS / 1_000;
                        const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
                        for (let arrival = 0; arrival < arrivals; arrival++) {
                            void send(instance);
                        }
                    }
                }
            }
            await step();
            return { granted, refused, longestWaitMs, retryAfterMs };
        },
        worstWindow: (sinceMs = 0) => {
            const steps = BOUNDS.windowMs / STEP_MS;
            let sum = 0;
            let worst = 0;
            for (let slot = Math.floor(sinceMs / STEP_MS); slot < sent.length; slot++) {
                sum += sent[slot] ?? 0;
                const leaving = slot - steps;
                sum -= leaving >= sinceMs / STEP_MS ? sent[leaving] ?? 0 : 0;
                worst = Math.max(worst, sum);
            }
            return worst;
        },
        now: () => nowMs,
    };
};
