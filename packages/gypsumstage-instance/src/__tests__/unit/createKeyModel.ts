import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import { failure } from "@gypsumstage/shared/failure";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { success } from "@gypsumstage/shared/success";
import type { KeyVerdict } from "@gypsumstage/steering/traffic/KeyVerdict";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import { performance } from "node:perf_hooks";
import { mock } from "node:test";
import type { ConfirmQuery } from "../../keys/ConfirmQuery.js";
import type { KeyConfirmation } from "../../keys/KeyConfirmation.js";
import { startKeyConfirmation } from "../../keys/startKeyConfirmation.js";
import { startFleetState } from "../../startFleetState.js";
import type { FleetStore } from "../../store/FleetStore.js";
import { createRandom } from "./createRandom.js";

const REGIONS = ["kutch", "bharuch", "bhavnagar"];
const STEP_MS = 10;
const READING_MS = 1e-9;
const TIMEOUT_MS = 500;
/** Time within which another instance of a region reads the store in place of one that has lost it. */
const STEP_IN_MS = 1_500;

interface ModelInstance {
    readonly keys: KeyConfirmation;
    /** Decides about a request as the request path does. */
    readonly admit: (keyDigest: string) => Promise<KeyVerdict["kind"]>;
    /** What its connections do. */
    readonly faults: { store?: boolean; peers?: boolean; frozenMs?: number; delayMs?: number; };
}

interface KeyModel {
    readonly instances: readonly ModelInstance[];
    readonly runFor: (ms: number, onStep?: () => void) => Promise<void>;
    /** Stores the next configuration, with a workspace for each key. */
    readonly store: (keyDigests: readonly string[]) => void;
    readonly counts: () => { readonly reads: number; readonly questions: number; };
    readonly stop: () => void;
}

/**
 * Starts the confirmations of several instances in virtual time; one in each region reads the store.
 *
 * @param size - number of instances
 * @param revokeBoundMs - bound for removed keys; undefined where they are not revoked strictly
 * @param keyDigests - keys of the first configuration
 * @returns the model, after the first confirmations
 */
export const createKeyModel = async (
    size: number,
    revokeBoundMs: number | undefined,
    keyDigests: readonly string[],
): Promise<KeyModel> => {
    let nowMs = 0;
    let reads = 0;
    let readings = 0;
    let questions = 0;
    let record: TopicRecord | undefined;
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    // No two readings are equal, as on a real clock.
    const readClock = (): number => nowMs + (readings += 1) * READING_MS;
    const clock = mock.method(performance, "now", readClock);
    const random = mock.method(Math, "random", createRandom(size));
    const after = <Value>(ms: number, value: () => Value | Promise<Value>): Promise<Value> =>
        new Promise(resolve => setTimeout(() => resolve(value()), ms));
    const put = (digests: readonly string[]): void => {
        const revision = (record?.revision ?? 0) + 1;
        const workspaces = digests.map(digest => ({ name: `w-${digest}`, keyDigests: [digest] }));
        const policy = { version: revision, routes: [], services: [], workspaces };
        record = {
            name: "main",
            revision,
            value: { kind: "policy", policy: policy as unknown as TrafficPolicy },
        };
    };
    put(keyDigests);
    const instances: ModelInstance[] = [];
    let readers: readonly number[] = [];
    const chooseReaders = (): void => {
        readers = REGIONS.map((...[, offset]) => {
            const inRegion = instances.map((...[, index]) => index).filter(index =>
                index % REGIONS.length === offset
            );
            return inRegion.find(index => instances[index]?.faults.store !== true) ?? offset;
        });
    };
    const report = (index: number): PeerState["report"] => {
        const region = REGIONS[index % REGIONS.length] ?? "";
        const storeAgeMs = readers.includes(index) ? 0 : undefined;
        const name = `n-${index}`;
        return {
            name,
            dataCentre: region,
            region,
            internalAddress: String(index),
            storeAgeMs,
        } as PeerState["report"];
    };
    const listOthers = (own: number): readonly PeerState[] =>
        instances.map((...[, index]) => ({ report: report(index), receivedAtMs: nowMs, heardAtMs: nowMs }))
            .filter((...[, index]) => index !== own);
    const start = (index: number): ModelInstance => {
        const faults: ModelInstance["faults"] = {};
        const fleet = startFleetState(() => undefined, () => undefined);
        const revision = record?.revision ?? 0;
        const records = record === undefined ? [] : [record];
        fleet.topics.policy.dispatch({
            kind: "listed",
            records,
            era: 0,
            revision,
            retainUntilMs: undefined,
            nowMs,
        });
        const watch: FleetStore["watch"] = (...[, since]) => {
            reads += 1;
            const current = record;
            if (faults.store || current === undefined) {
                return after(TIMEOUT_MS, () => failure({ kind: "store-unreachable", reason: "silent" }));
            }
            const changes = current.revision > since ? [{ kind: "put", record: current } as const] : [];
            return after(30, () => success({ changes, era: 0, revision: current.revision }));
        };
        const call: RpcClient["call"] = (address, method, params) => {
            questions += 1;
            const target = instances[Number(address)];
            if (target === undefined || faults.peers || target.faults.peers) {
                return after(TIMEOUT_MS, () => failure({ kind: "rpc-unreachable", reason: method } as never));
            }
            const delayMs = 10 + (faults.delayMs ?? 0);
            return after(delayMs, () => target.keys.answer(params as ConfirmQuery)).then(reply =>
                after(delayMs, () => success(reply as never))
            );
        };
        const keys = startKeyConfirmation({
            cfg: () => ({ ...report(index), revokeBoundMs }),
            copy: fleet,
            store: { watch },
            peers: { live: () => listOthers(index) },
            rpc: { call },
            isReader: () => readers.includes(index),
            now: () => ({
                monotonicMs: readClock(),
                wallMs: nowMs + (faults.frozenMs ?? 0) - 3_600_000 * (index % 2),
            }),
            metrics: { countConfirmation: () => undefined },
            log: () => undefined,
        });
        const admit = async (keyDigest: string): Promise<KeyVerdict["kind"]> => {
            const arrivedAtMs = readClock();
            const judge = (): KeyVerdict["kind"] =>
                keys.trust.judge({ isPublic: false }, keyDigest, arrivedAtMs).kind;
            if (judge() === "unconfirmed") {
                await keys.trust.confirm();
            }
            return judge();
        };
        return { keys, admit, faults };
    };
    for (let index = 0; index < size; index++) {
        instances.push(start(index));
    }
    chooseReaders();
    const runFor = async (ms: number, onStep = (): void => undefined): Promise<void> => {
        for (const untilMs = nowMs + ms; nowMs < untilMs;) {
            nowMs += STEP_MS;
            if (nowMs % STEP_IN_MS === 0) {
                chooseReaders();
            }
            mock.timers.tick(STEP_MS);
            await new Promise(setImmediate);
            onStep();
        }
    };
    await runFor(3_000);
    return {
        instances,
        runFor,
        store: put,
        counts: () => ({ reads, questions }),
        stop: () => {
            instances.forEach(each => each.keys.stop());
            mock.timers.reset();
            clock.mock.restore();
            random.mock.restore();
        },
    };
};
