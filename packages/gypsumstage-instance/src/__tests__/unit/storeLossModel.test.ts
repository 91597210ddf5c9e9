import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { RpcError } from "@gypsumstage/shared/RpcError";
import { success } from "@gypsumstage/shared/success";
import { createTopicUpdate } from "@gypsumstage/steering/traffic/createTopicUpdate";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { PeerTable } from "@gypsumstage/steering/traffic/PeerTable";
import { recordPeerReport } from "@gypsumstage/steering/traffic/recordPeerReport";
import { recordTopicAnnouncement } from "@gypsumstage/steering/traffic/recordTopicAnnouncement";
import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { mock, test } from "node:test";
import type { FleetState } from "../../FleetState.js";
import type { InstanceConfig } from "../../InstanceConfig.js";
import type { PeerExchange } from "../../peers/PeerExchange.js";
import type { TopicQuery } from "../../peers/TopicQuery.js";
import { startFleetState } from "../../startFleetState.js";
import type { FleetStore } from "../../store/FleetStore.js";
import { followTopics } from "../../store/followTopics.js";
import type { StoreError } from "../../store/StoreError.js";
import type { TopicChanges } from "../../store/TopicChanges.js";
import type { TopicPage } from "../../store/TopicPage.js";
import { createRandom } from "./createRandom.js";

/** How some instances lose the store, while the others reach it. */
type StoreLoss = "silent" | "reset" | "busy" | "slow";

const LOSSES: readonly StoreLoss[] = ["silent", "reset", "busy", "slow"];
const REGIONS = ["kutch", "bharuch", "bhavnagar"];
const STORE_REGION = "kutch";
/** Share of the instances that lose the store, the readers of the store first. */
const LOST_SHARE = 0.75;
/** Share of the datagrams that are lost. */
const DATAGRAM_LOSS = 0.01;
/** One-way delays within a region and between regions. */
const NEAR_MS = 1;
const FAR_MS = 35;
/** One-way delay of calls to a store that is slow for an instance. */
const SLOW_MS = 1_500;
/** Time that the client of the store waits for a response, beside the time that a watch may wait. */
const STORE_TIMEOUT_MS = 800;
const STEP_MS = 5;
/** Time in which a fleet that has started agrees on its readers, and in which one recovers from a loss. */
const SETTLE_MS = 4_500;
const QUIET_MS = 20_000;
/** Calls of a quiet fleet of three regions before bounds were taken from the settings: three watches of 2 s each a region. */
const CALLS_BEFORE_PER_S = 4.5;
const MAX_CALLS_RATIO = 1.25;

interface ModelInstance {
    readonly report: PeerReport;
    readonly fleet: FleetState;
    readonly isReader: () => boolean;
    readonly receive: (change: (peers: PeerTable) => PeerTable) => void;
    readonly lose: (loss: StoreLoss | undefined) => void;
    readonly stop: () => void;
}

interface Model {
    readonly instances: readonly ModelInstance[];
    readonly callCount: () => number;
    readonly random: () => number;
    readonly change: () => void;
    readonly runFor: (ms: number, until?: () => boolean) => Promise<number>;
    readonly stop: () => void;
}

const evacuation = (name: string, revision: number): TopicRecord => ({
    name,
    revision,
    value: { kind: "evacuation", dataCentre: name },
});

/** A store that is reached over the links of one instance. */
const createStoreLink = (
    shared: {
        readonly records: readonly TopicRecord[];
        readonly waiting: Set<() => void>;
        readonly countCall: () => void;
    },
    oneWayMs: number,
): { readonly store: FleetStore; readonly lose: (loss: StoreLoss | undefined) => void; } => {
    let loss: StoreLoss | undefined;
    const open = new Set<(err: StoreError) => void>();
    const lossErrors: Readonly<Partial<Record<StoreLoss, StoreError>>> = {
        reset: { kind: "store-unreachable", reason: "reset" },
        busy: { kind: "store-refused", status: 503 },
    };
    const delayMs = (): number => oneWayMs + (loss === "slow" ? SLOW_MS : 0);
    const revision = (): number => shared.records.length;
    const call = <Value>(
        timeoutMs: number,
        answer: (respond: (value: Value) => void) => void,
    ): Promise<Result<Value, StoreError>> =>
        new Promise(resolve => {
            shared.countCall();
            const end = (res: Result<Value, StoreError>): void => {
                clearTimeout(timer);
                open.delete(fail);
                resolve(res);
            };
            const fail = (err: StoreError): void => end(failure(err));
            const timer = setTimeout(
                () => fail({ kind: "store-unreachable", reason: "timeout" }),
                timeoutMs,
            );
            open.add(fail);
            const respond = (value: Value): void => {
                if (loss !== "silent") {
                    setTimeout(() => loss === "silent" || end(success(value)), delayMs());
                }
            };
            setTimeout(() => {
                const err = loss === undefined ? undefined : lossErrors[loss];
                if (err !== undefined) {
                    setTimeout(() => fail(err), oneWayMs);
                }
                else if (loss !== "silent") {
                    answer(respond);
                }
            }, delayMs());
        });
    const store: FleetStore = {
        list: topic =>
            call<TopicPage>(STORE_TIMEOUT_MS, respond =>
                respond({
                    records: topic === "evacuations" ? shared.records : [],
                    hasMore: false,
                    era: 1,
                    revision: revision(),
                })),
        watch: (topic, since, waitMs) =>
            call<TopicChanges>(waitMs + STORE_TIMEOUT_MS, respond => {
                const send = (): void => {
                    const added = topic === "evacuations" ? shared.records.slice(since) : [];
                    const changes = added.map(record => ({ kind: "put", record }) as const);
                    respond({ changes, era: 1, revision: revision() });
                };
                const isChanged = (): boolean => topic === "evacuations" && revision() > since;
                if (isChanged()) {
                    send();
                    return;
                }
                const onChange = (): void => {
                    if (isChanged()) {
                        clearTimeout(timer);
                        shared.waiting.delete(onChange);
                        send();
                    }
                };
                const timer = setTimeout(() => {
                    shared.waiting.delete(onChange);
                    send();
                }, waitMs);
                shared.waiting.add(onChange);
            }),
        close: () => Promise.resolve(),
    };
    const lose = (next: StoreLoss | undefined): void => {
        loss = next;
        const err = next === undefined ? undefined : lossErrors[next];
        if (err !== undefined) {
            [...open].forEach(fail => fail(err));
        }
    };
    return { store, lose };
};

const createReport = (name: string, region: string): PeerReport => ({
    name,
    dataCentre: `${region}-a`,
    region,
    address: `${name}:1`,
    incarnation: "i",
    internalAddress: name,
    isReady: true,
    topics: {},
    storeAgeMs: undefined,
    inFlight: {},
    demand: {},
    placed: {},
    peers: [],
});

/**
 * Instances that follow the store as in production, in one process and in virtual time. They know each other and exchange
 * announcements and fetches, but no reports, which would only tell them sooner.
 */
const startModel = async (size: number, changeBoundMs: number, seed: number): Promise<Model> => {
    let nowMs = 0;
    let calls = 0;
    const random = createRandom(seed);
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    const clock = mock.method(performance, "now", () => nowMs);
    const records: TopicRecord[] = [evacuation("first", 1)];
    const waiting = new Set<() => void>();
    const shared = { records, waiting, countCall: () => calls += 1 };
    const instances: ModelInstance[] = [];
    const delayBetween = (left: PeerReport, right: PeerReport): number =>
        left.region === right.region ? NEAR_MS : FAR_MS;
    const startModelInstance = (report: PeerReport, known: PeerTable): ModelInstance => {
        let peers: PeerTable = known;
        const link = createStoreLink(shared, report.region === STORE_REGION ? NEAR_MS : FAR_MS);
        const fleet = startFleetState(() => undefined, () => undefined);
        const find = (name: string): ModelInstance | undefined =>
            instances.find(each => each.report.name === name);
        const announce: PeerExchange["announce"] = (announcement, targets) => {
            for (const target of targets.filter(() => random() >= DATAGRAM_LOSS)) {
                setTimeout(() => {
                    find(target.report.name)?.receive(table =>
                        recordTopicAnnouncement(table, announcement, nowMs)
                    );
                }, delayBetween(report, target.report));
            }
        };
        const rpc: RpcClient = {
            call: <Value>(address: string, method: string, params: unknown) =>
                new Promise<Result<Value, RpcError>>(resolve => {
                    const target = find(address);
                    assert.ok(target, method);
                    const { topic, era = 0, since: revision, areNamesNeeded } = params as TopicQuery;
                    const since = revision === undefined ? undefined : { era, revision };
                    setTimeout(() => {
                        const copy = target.fleet.topics[topic].get();
                        resolve(
                            success(createTopicUpdate(copy, since, areNamesNeeded ?? false, nowMs) as Value),
                        );
                    }, 2 * delayBetween(report, target.report));
                }),
            close: () => Promise.resolve(),
        };
        let listed: readonly PeerState[] = [...peers.values()];
        const list = (): readonly PeerState[] => listed;
        const self = { incarnation: "i", isReady: () => true, changeBoundMs: () => changeBoundMs };
        const followed = followTopics(
            report as unknown as InstanceConfig,
            self,
            fleet,
            link.store,
            { all: list, live: list, announce } as PeerExchange,
            rpc,
            { recordTopicPull: () => undefined },
            () => undefined,
        );
        return {
            report,
            fleet,
            isReader: () => followed.storeAgeMs() !== undefined,
            receive: change => {
                peers = change(peers);
                listed = [...peers.values()];
            },
            lose: link.lose,
            stop: () => {
                followed.stop();
                fleet.stop();
            },
        };
    };
    const reports = Array.from(
        { length: size },
        (...[, index]) => createReport(`n-${index}`, REGIONS[index % REGIONS.length] ?? STORE_REGION),
    );
    const known = reports.reduce<PeerTable>((table, report) => recordPeerReport(table, report, 0), new Map());
    for (const report of reports) {
        instances.push(
            startModelInstance(report, new Map([...known].filter(([name]) => name !== report.name))),
        );
    }
    const step = async (): Promise<void> => {
        nowMs += STEP_MS;
        mock.timers.tick(STEP_MS);
        await new Promise(setImmediate);
    };
    const runFor = async (ms: number, until = () => false): Promise<number> => {
        const startedAtMs = nowMs;
        while (nowMs - startedAtMs < ms && !until()) {
            await step();
        }
        return nowMs - startedAtMs;
    };
    await runFor(SETTLE_MS);
    return {
        instances,
        callCount: () => calls,
        random,
        change: () => {
            records.push(evacuation(`e-${records.length}`, records.length + 1));
            [...waiting].forEach(notify => notify());
        },
        runFor,
        stop: () => {
            instances.forEach(each => each.stop());
            mock.timers.reset();
            clock.mock.restore();
        },
    };
};

const hasRecords = ({ fleet }: ModelInstance, count: number, topic: Topic = "evacuations"): boolean =>
    fleet.topics[topic].get().records.size === count;

/** Takes the store from the readers and from others, changes something, and returns when the rest knows. */
const measureChange = async (model: Model, loss: StoreLoss, count: number): Promise<number> => {
    await model.runFor(3_000 * model.random());
    const readersFirst = [...model.instances].sort((left, right) =>
        Number(right.isReader()) - Number(left.isReader())
    );
    const lost = readersFirst.slice(0, Math.floor(LOST_SHARE * model.instances.length));
    lost.forEach(each => each.lose(loss));
    await model.runFor(150 * model.random());
    model.change();
    const rest = model.instances.filter(each => !lost.includes(each));
    const knownAfterMs = await model.runFor(10_000, () => rest.every(each => hasRecords(each, count)));
    lost.forEach(each => each.lose(undefined));
    await model.runFor(SETTLE_MS);
    return knownAfterMs;
};

const FLEETS = [
    { size: 8, changeBoundMs: 2_500, rounds: 4 },
    { size: 84, changeBoundMs: 3_000, rounds: 1 },
    { size: 195, changeBoundMs: 4_000, rounds: 1 },
    { size: 300, changeBoundMs: 4_000, rounds: 1 },
];

for (const { size, changeBoundMs, rounds } of FLEETS) {
    test(`in a fleet of ${size} whose readers lose the store, a change is known in half of its bound wherever the store is reached`, async () => {
        const model = await startModel(size, changeBoundMs, size);
        const late: string[] = [];
        let count = 1;
        for (let round = 0; round < rounds; round++) {
            for (const loss of LOSSES) {
                count += 1;
                const knownAfterMs = await measureChange(model, loss, count);
                if (knownAfterMs > changeBoundMs / 2) {
                    late.push(`${loss}: ${knownAfterMs} ms`);
                }
            }
        }
        model.stop();
        assert.deepEqual(late, []);
    });
}

test("a quiet fleet calls the store at most a quarter more often than with watches of 2 s", async () => {
    const model = await startModel(8, 2_500, 1);
    const before = model.callCount();
    await model.runFor(QUIET_MS);
    const calls = model.callCount() - before;
    model.stop();
    assert.equal(model.instances.filter(each => each.isReader()).length, REGIONS.length);
    assert.ok(calls <= MAX_CALLS_RATIO * CALLS_BEFORE_PER_S * QUIET_MS / 1_000, `${calls} calls`);
});
