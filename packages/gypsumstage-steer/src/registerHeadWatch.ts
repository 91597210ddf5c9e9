import type { VersionedObject } from "@gypsumstage/platform/VersionedObject";
import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import { listWatchers } from "@gypsumstage/steering/listWatchers";
import type { ConfigurationHead } from "./ConfigurationHead.js";
import { HEAD_KEY } from "./HEAD_KEY.js";
import { readStoredConfiguration } from "./readStoredConfiguration.js";
import { restoreHead } from "./restoreHead.js";
import type { SteerContext } from "./SteerContext.js";

/** A platform that has gone silent is noticed at the end of a watch, and a change must be in force within 7 s. */
const WATCH_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 300;
const WATCHER_CHECK_INTERVAL_MS = 1_000;
/** Pause between two checks whether a platform that was lost is back, while others read it. */
const LOST_CHECK_INTERVAL_MS = 5_000;
const NO_VERSION = 0;

/**
 * Watches the configuration head in the platform while this instance is one of its data centre's watchers, or has lost the
 * platform and is to notice when it is back, and applies newer configurations. When the platform's head is missing or older than the local configuration, it is
 * restored.
 *
 * @param context - the platform that is watched, the view that receives configurations, and the settings
 * @returns a function that stops the watch
 */
export const registerHeadWatch = (context: SteerContext): () => void => {
    const { platform, store, cfg, headReadTracker, log } = context;
    let version = NO_VERSION;
    let pauseMs = RETRY_DELAY_MS;
    const applyHead = async (stored: VersionedObject, readAtMs: number): Promise<void> => {
        const head = stored.value as ConfigurationHead;
        const localConfiguration = store.get().configuration;
        if (localConfiguration !== undefined && head.generation < localConfiguration.generation) {
            log("error", "head-regressed", { held: localConfiguration.generation, found: head.generation });
            await restoreHead(context, localConfiguration, head, stored.version);
            return;
        }
        if (localConfiguration === undefined || head.generation > localConfiguration.generation) {
            const read = await readStoredConfiguration(platform, head.digest);
            if (!read.ok) {
                log("warn", "part-unreadable", { error: read.error });
                return;
            }
            store.dispatch({ kind: "configuration-seen", configuration: read.value });
            log("info", "configuration-in-force", { generation: read.value.generation });
        }
        version = stored.version;
        headReadTracker.recordRead(head.generation, readAtMs);
    };
    const confirmHeadAbsent = async (): Promise<void> => {
        const read = await platform.read(HEAD_KEY);
        const localConfiguration = store.get().configuration;
        if (read.ok && read.value === undefined && localConfiguration !== undefined) {
            await restoreHead(context, localConfiguration, undefined, undefined);
        }
        if (read.ok && read.value !== undefined) {
            await applyHead(read.value, monotonicNow());
        }
        if (read.ok && read.value === undefined) {
            version = NO_VERSION;
        }
    };
    const watchHead = async (): Promise<void> => {
        const watched = await platform.watch(HEAD_KEY, version, WATCH_TIMEOUT_MS);
        // The time of the response, not of the request: the platform responds when the watch ends, so the head is at
        // least as recent as the start of the response.
        const readAtMs = monotonicNow();
        pauseMs = watched.ok && watched.value !== undefined ? 0 : RETRY_DELAY_MS;
        if (!watched.ok) {
            headReadTracker.recordFailure();
            log("debug", "platform-unreachable", { error: watched.error });
            // It may have been restored meanwhile and give versions out again, so the next watch must respond at once.
            version = NO_VERSION;
            return;
        }
        if (watched.value === undefined) {
            await confirmHeadAbsent();
            return;
        }
        await applyHead(watched.value, readAtMs);
    };
    const watchOnce = async (): Promise<void> => {
        const isWatcher = listWatchers(store.get(), cfg.instance, monotonicNow()).includes(cfg.instance.name);
        if (isWatcher) {
            await watchHead();
        }
        else if (headReadTracker.isPlatformLost()) {
            await watchHead();
            pauseMs = LOST_CHECK_INTERVAL_MS;
        }
        else {
            pauseMs = WATCHER_CHECK_INTERVAL_MS;
        }
    };
    return startPeriodicTask(
        watchOnce,
        () => pauseMs,
        err => log("error", "head-watch-failed", { reason: describeError(err) }),
    );
};
