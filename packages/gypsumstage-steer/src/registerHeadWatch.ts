import type { VersionedObject } from "@gypsumstage/platform/VersionedObject";
import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { registerRepeat } from "@gypsumstage/shared/registerRepeat";
import { listWatchers } from "@gypsumstage/steering/listWatchers";
import type { ConfigurationHead } from "./ConfigurationHead.js";
import { HEAD_KEY } from "./HEAD_KEY.js";
import { readStoredConfiguration } from "./readStoredConfiguration.js";
import { restoreHead } from "./restoreHead.js";
import type { SteerContext } from "./SteerContext.js";

const WAIT_MS = 10_000;
const RETRY_MS = 300;
const NOT_WATCHER_MS = 1_000;
const NO_VERSION = 0;

/**
 * Follows the head of the configuration in the platform while this instance is one of its data centre's watchers.
 *
 * @param context - the process
 * @returns the teardown
 */
export const registerHeadWatch = (context: SteerContext): () => void => {
    const { platform, store, cfg, head: knowledge, log } = context;
    let version = NO_VERSION;
    let pauseMs = RETRY_MS;
    const takeHead = async (seen: VersionedObject, readAtMs: number): Promise<void> => {
        const head = seen.value as ConfigurationHead;
        const held = store.get().configuration;
        if (held !== undefined && head.generation < held.generation) {
            log("error", "head-regressed", { held: held.generation, found: head.generation });
            await restoreHead(context, held, head, seen.version);
            return;
        }
        if (held === undefined || head.generation > held.generation) {
            const part = await readStoredConfiguration(platform, head.digest);
            if (!part.ok) {
                log("warn", "part-unreadable", { error: part.error });
                return;
            }
            store.dispatch({ kind: "configuration-seen", configuration: part.value });
            log("info", "configuration-in-force", { generation: part.value.generation });
        }
        version = seen.version;
        knowledge.note(head.generation, readAtMs);
    };
    const confirmAbsent = async (): Promise<void> => {
        const read = await platform.read(HEAD_KEY);
        const held = store.get().configuration;
        if (read.ok && read.value === undefined && held !== undefined) {
            await restoreHead(context, held, undefined, undefined);
        }
        if (read.ok && read.value !== undefined) {
            await takeHead(read.value, monotonicNow());
        }
        if (read.ok && read.value === undefined) {
            version = NO_VERSION;
        }
    };
    const step = async (): Promise<void> => {
        if (!listWatchers(store.get(), cfg.instance, monotonicNow()).includes(cfg.instance.name)) {
            pauseMs = NOT_WATCHER_MS;
            return;
        }
        const seen = await platform.watch(HEAD_KEY, version, WAIT_MS);
        // A watch answers when it ends, so what it shows is at least as new as the start of the answer.
        const readAtMs = monotonicNow();
        pauseMs = seen.ok && seen.value !== undefined ? 0 : RETRY_MS;
        if (!seen.ok) {
            log("debug", "platform-unreachable", { error: seen.error });
            return;
        }
        if (seen.value === undefined) {
            await confirmAbsent();
            return;
        }
        await takeHead(seen.value, readAtMs);
    };
    return registerRepeat(
        step,
        () => pauseMs,
        err => log("error", "head-watch-failed", { reason: describeError(err) }),
    );
};
