import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import { listWatchers } from "@gypsumstage/steering/listWatchers";
import type { SteerContext } from "./SteerContext.js";

const READ_INTERVAL_MS = 1_000;

/**
 * Periodically reads the platform's list of members while this instance is one of its data centre's watchers.
 *
 * @param context - the platform that is read, the view that receives the list, and the settings
 * @returns a function that stops the reads
 */
export const registerMembersReads = (context: SteerContext): () => void => {
    const { platform, store, cfg, log } = context;
    const readMembers = async (): Promise<void> => {
        if (!listWatchers(store.get(), cfg.instance, monotonicNow()).includes(cfg.instance.name)) {
            return;
        }
        const readAtMs = monotonicNow();
        const members = await platform.readMembers();
        if (!members.ok) {
            log("debug", "members-unreadable", { error: members.error });
            return;
        }
        const isUnchanged = JSON.stringify(store.get().members) === JSON.stringify(members.value);
        store.dispatch(
            isUnchanged
                ? { kind: "members-confirmed", readAtMs }
                : { kind: "members-read", members: members.value, readAtMs },
        );
    };
    return startPeriodicTask(
        readMembers,
        () => READ_INTERVAL_MS,
        err => log("error", "members-read-failed", { reason: describeError(err) }),
    );
};
