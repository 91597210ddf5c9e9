import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { Platform } from "@gypsumstage/platform/Platform";
import { createStore } from "@gypsumstage/shared/createStore";
import { failure } from "@gypsumstage/shared/failure";
import { sleep } from "@gypsumstage/shared/sleep";
import { success } from "@gypsumstage/shared/success";
import { EMPTY_VIEW } from "@gypsumstage/steering/EMPTY_VIEW";
import { updateView } from "@gypsumstage/steering/updateView";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import assert from "node:assert/strict";
import { test } from "node:test";
import { computeConfigurationDigest } from "../../computeConfigurationDigest.js";
import { createHeadReadTracker } from "../../createHeadReadTracker.js";
import { getConfigurationKey } from "../../getConfigurationKey.js";
import { registerHeadWatch } from "../../registerHeadWatch.js";
import type { SteerContext } from "../../SteerContext.js";

/** Far less than a watch waits, and far more than the pause after a failure. */
const NOTICE_MS = 1_000;
/** Version that the platform gives out again after it was restored. */
const REPEATED_VERSION = 6;

const createConfiguration = (generation: number): Configuration => ({
    generation,
    intent: {} as Configuration["intent"],
    drains: [],
    moves: [],
});

test("a head whose version a restored platform gives out again is noticed after the failure, not at the end of a watch", async () => {
    let configuration = createConfiguration(4);
    let isAway = false;
    let abortWatch = (): void => undefined;
    const createHead = (): unknown => ({
        generation: configuration.generation,
        digest: computeConfigurationDigest(configuration),
    });
    const platform = {
        read: key =>
            Promise.resolve(success(
                key === getConfigurationKey(computeConfigurationDigest(configuration))
                    ? { key, value: configuration, version: 1 }
                    : undefined,
            )),
        watch: (key, version, waitMs) => {
            if (isAway) {
                return Promise.resolve(failure({ kind: "platform-unreachable", reason: "reset" }));
            }
            if (version !== REPEATED_VERSION) {
                return Promise.resolve(success({ key, value: createHead(), version: REPEATED_VERSION }));
            }
            return new Promise(resolve => {
                const timer = setTimeout(() => resolve(success(undefined)), waitMs);
                abortWatch = () => {
                    clearTimeout(timer);
                    resolve(failure({ kind: "platform-unreachable", reason: "reset" }));
                };
            });
        },
    } as Platform;
    const store = createStore<SteeringView, ViewEvent>(EMPTY_VIEW, updateView);
    const context = {
        cfg: { instance: { name: "a-1", dataCentre: "a" } },
        log: () => undefined,
        platform,
        store,
        headReadTracker: createHeadReadTracker(),
    } as unknown as SteerContext;
    const stop = registerHeadWatch(context);
    await sleep(100);
    assert.equal(store.get().configuration?.generation, 4);
    isAway = true;
    abortWatch();
    configuration = createConfiguration(5);
    isAway = false;
    await sleep(NOTICE_MS);
    stop();
    abortWatch();
    assert.equal(store.get().configuration?.generation, 5);
});
