import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import type { Store } from "@gypsumstage/shared/Store";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";
import type { FleetStore } from "./FleetStore.js";
import { listTopic } from "./listTopic.js";
import type { StoreError } from "./StoreError.js";
import type { TopicFollower } from "./TopicFollower.js";
import type { TopicReading } from "./TopicReading.js";

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;
/** Time after the store recovers for which removed records stay in use, as they may reappear. */
const RECOVERY_GRACE_MS = 2_000;

/**
 * Keeps a topic up to date from the store while its reading is wanted: lists it when there is no copy yet, then waits for
 * changes. It is listed again when the store no longer keeps the changes in between, or was restored from a copy.
 *
 * @param store - the platform's store
 * @param topic - the topic
 * @param topicStore - the instance's copy of the topic
 * @param reading - when the topic is read, and who is told of responses
 * @param log - receives loss and recovery of the store
 * @returns the handle on the follower
 */
export const registerTopicFollower = (
    store: FleetStore,
    topic: Topic,
    topicStore: Store<TopicState, TopicEvent>,
    reading: TopicReading,
    log: Log,
): TopicFollower => {
    let confirmedAtMs: number | undefined;
    let recoveredAtMs: number | undefined;
    let failures = 0;
    /** Watches without success since the last one that succeeded: their revision belonged to a history that is gone. */
    let watchesGone = 0;
    let isListNeeded = false;
    /** True until the first response since this instance began to read. */
    let isFirstRead = true;
    let pauseMs = 0;
    let wake = (): void => undefined;
    const confirm = (atMs: number): void => {
        isFirstRead = false;
        confirmedAtMs = Math.max(confirmedAtMs ?? atMs, atMs);
        reading.onConfirmed();
    };
    const onSuccess = (): number | undefined => {
        const nowMs = monotonicNow();
        if (failures > 0) {
            log("info", "store-regained", { topic, failures });
            recoveredAtMs = confirmedAtMs === undefined ? undefined : nowMs;
        }
        failures = 0;
        pauseMs = 0;
        const retainUntilMs = recoveredAtMs === undefined ? 0 : recoveredAtMs + RECOVERY_GRACE_MS;
        return nowMs < retainUntilMs ? retainUntilMs : undefined;
    };
    const backOff = (attempts: number): void => {
        pauseMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.min(attempts, 8))
            * (0.5 + Math.random() / 2);
    };
    const relist = (): void => {
        isListNeeded = true;
        if (watchesGone > 0) {
            backOff(watchesGone);
        }
        watchesGone += 1;
    };
    const onFailure = (err: StoreError): void => {
        if (err.kind === "history-gone") {
            log("info", "store-history-gone", { topic, revision: topicStore.get().revision });
            relist();
            return;
        }
        if (failures === 0) {
            log("warn", "store-lost", { topic, error: err });
        }
        failures += 1;
        backOff(failures);
    };
    const list = async (): Promise<void> => {
        const sentAtMs = monotonicNow();
        const res = await listTopic(store, topic);
        if (!res.ok) {
            onFailure(res.error);
            return;
        }
        isListNeeded = false;
        const { records, era, revision } = res.value;
        const before = topicStore.get();
        const retainUntilMs = onSuccess();
        topicStore.dispatch({ kind: "listed", ...res.value, retainUntilMs, nowMs: monotonicNow() });
        confirm(sentAtMs);
        const current = topicStore.get();
        log("info", current === before ? "store-listing-ignored" : "store-listed", {
            topic,
            era,
            revision,
            records: records.length,
            carried: current.carried.size,
            eraBefore: before.era,
            revisionBefore: before.revision,
        });
    };
    const watch = async (
        { era, revision }: { readonly era: number; readonly revision: number; },
    ): Promise<void> => {
        // After a failure the store may have been restored; only a response tells, so none is waited for.
        const waitMs = failures > 0 || isFirstRead ? 0 : reading.chooseWaitMs();
        const sentAtMs = monotonicNow();
        const res = await store.watch(topic, revision, waitMs);
        if (!res.ok) {
            onFailure(res.error);
            return;
        }
        if (res.value.era !== era) {
            log("info", "store-era-changed", { topic, era: res.value.era, eraBefore: era });
            relist();
            return;
        }
        watchesGone = 0;
        topicStore.dispatch({ kind: "changed", ...res.value, retainUntilMs: onSuccess() });
        // The store may have sent events at any time of the wait, but says that there are none only at its end.
        const waitedMs = res.value.changes.length === 0 ? waitMs : 0;
        confirm(Math.min(monotonicNow(), sentAtMs + waitedMs));
    };
    const step = async (): Promise<void> => {
        const { era, revision } = topicStore.get();
        pauseMs = 0;
        if (!reading.isWanted()) {
            // Another instance reads the store, so failures from before say nothing about when the store came back.
            failures = 0;
            recoveredAtMs = undefined;
            isFirstRead = true;
            await new Promise<void>(resolve => wake = resolve);
            return;
        }
        await (isListNeeded || revision === undefined ? list() : watch({ era, revision }));
    };
    const stopTask = startPeriodicTask(step, () => pauseMs, err => {
        log("error", "topic-follower-failed", { topic, reason: String(err) });
        pauseMs = MAX_BACKOFF_MS;
    });
    return {
        confirmedAtMs: () => confirmedAtMs,
        wake: () => wake(),
        stop: () => {
            stopTask();
            wake();
        },
    };
};
