/** Guards against a configuration that a data centre never learns of, because its two watchers have lost the platform and others have not. */
import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import type { Platform } from "@gypsumstage/platform/Platform";
import { createStore } from "@gypsumstage/shared/createStore";
import { failure } from "@gypsumstage/shared/failure";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import { success } from "@gypsumstage/shared/success";
import { EMPTY_VIEW } from "@gypsumstage/steering/EMPTY_VIEW";
import { listWatchers } from "@gypsumstage/steering/listWatchers";
import { updateView } from "@gypsumstage/steering/updateView";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { computeConfigurationDigest } from "../../computeConfigurationDigest.js";
import { createHeadReadTracker } from "../../createHeadReadTracker.js";
import { registerHeadWatch } from "../../registerHeadWatch.js";
import type { SteerContext } from "../../SteerContext.js";

const NAMES = ["a-1", "a-2", "a-3", "a-4", "a-5"];
const SPREAD_INTERVAL_MS = 100;
/** Longer than the check for lost watchers, and far shorter than for ever. */
const TIMEOUT_MS = 12_000;

const createConfiguration = (generation: number): Configuration => ({
    generation,
    intent: {} as Configuration["intent"],
    drains: [],
    moves: [],
});

interface Model {
    readonly setConfiguration: (generation: number) => void;
    readonly setLost: (names: readonly string[]) => void;
    readonly watchers: () => readonly string[];
    readonly generation: () => number;
}

/** Instances of one data centre that exchange all they know, and a platform that some of them don't reach. */
const startModel = (t: TestContext): Model => {
    let configuration = createConfiguration(1);
    let lost: readonly string[] = [];
    const store = createStore<SteeringView, ViewEvent>(EMPTY_VIEW, updateView);
    const trackers = new Map(NAMES.map(name => [name, createHeadReadTracker()]));
    const createPlatform = (name: string): Platform => ({
        read: (key: string) => Promise.resolve(success({ key, value: configuration, version: 1 })),
        watch: async (key: string, version: number, waitMs: number) => {
            for (let waitedMs = 0; waitedMs < waitMs; waitedMs += SPREAD_INTERVAL_MS) {
                if (lost.includes(name)) {
                    return failure({ kind: "platform-unreachable", reason: "reset" });
                }
                if (version !== configuration.generation) {
                    break;
                }
                await sleep(SPREAD_INTERVAL_MS);
            }
            return success({
                key,
                value: {
                    generation: configuration.generation,
                    digest: computeConfigurationDigest(configuration),
                },
                version: configuration.generation,
            });
        },
    } as unknown as Platform);
    let sequence = 0;
    const spread = (): void => {
        sequence += 1;
        const records = NAMES.map(name =>
            ({
                name,
                dataCentre: "a",
                launch: "1",
                sequence,
                generation: 0,
                lastSeenAtMs: monotonicNow(),
                isPlatformLost: trackers.get(name)?.isPlatformLost(),
            }) as TimestampedRecord
        );
        store.dispatch({ kind: "records-heard", records, nowMs: monotonicNow() });
    };
    spread();
    const timer = setInterval(spread, SPREAD_INTERVAL_MS);
    t.after(() => clearInterval(timer));
    for (const name of NAMES) {
        const stop = registerHeadWatch({
            cfg: { instance: { name, dataCentre: "a" } },
            log: () => undefined,
            platform: createPlatform(name),
            store,
            headReadTracker: trackers.get(name),
        } as unknown as SteerContext);
        t.after(stop);
    }
    return {
        setConfiguration: generation => {
            configuration = createConfiguration(generation);
        },
        setLost: next => {
            lost = next;
        },
        watchers: () => listWatchers(store.get(), { name: NAMES[0] ?? "", dataCentre: "a" }, monotonicNow()),
        generation: () => store.get().configuration?.generation ?? 0,
    };
};

const waitFor = async (condition: () => boolean): Promise<void> => {
    for (let waitedMs = 0; waitedMs < TIMEOUT_MS; waitedMs += SPREAD_INTERVAL_MS) {
        if (condition()) {
            return;
        }
        await sleep(SPREAD_INTERVAL_MS);
    }
    assert.fail("the condition did not hold in time");
};

test("a data centre whose watchers have lost the platform learns of a configuration from its other instances", async t => {
    const model = startModel(t);
    await waitFor(() => model.generation() === 1);
    const watchers = model.watchers();
    model.setLost(watchers);
    model.setConfiguration(2);
    await waitFor(() => model.generation() === 2);
    assert.deepEqual(model.watchers().filter(name => watchers.includes(name)), []);
    model.setLost([]);
    await waitFor(() => watchers.every(name => model.watchers().includes(name)));
});

test("while all instances have lost the platform two of them go on trying, and are the first to notice its return", async t => {
    const model = startModel(t);
    await waitFor(() => model.generation() === 1);
    model.setLost(NAMES);
    await waitFor(() => model.watchers().length === 2);
    model.setConfiguration(2);
    await sleep(SPREAD_INTERVAL_MS);
    model.setLost([]);
    await waitFor(() => model.generation() === 2);
});
