import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { registerRepeat } from "@gypsumstage/shared/registerRepeat";
import { listWatchers } from "@gypsumstage/steering/listWatchers";
import type { SteerContext } from "./SteerContext.js";

const PERIOD_MS = 1_000;

/**
 * Reads the platform's list of instances and upstreams while this instance is one of its data centre's watchers.
 *
 * @param context - the process
 * @returns the teardown
 */
export const registerMembersReads = (context: SteerContext): () => void => {
    const { platform, store, cfg, log } = context;
    const step = async (): Promise<void> => {
        if (!listWatchers(store.get(), cfg.instance, monotonicNow()).includes(cfg.instance.name)) {
            return;
        }
        const readAtMs = monotonicNow();
        const members = await platform.readMembers();
        if (!members.ok) {
            log("debug", "members-unreadable", { error: members.error });
            return;
        }
        const isSame = JSON.stringify(store.get().members) === JSON.stringify(members.value);
        store.dispatch(
            isSame
                ? { kind: "members-confirmed", readAtMs }
                : { kind: "members-read", members: members.value, readAtMs },
        );
    };
    return registerRepeat(
        step,
        () => PERIOD_MS,
        err => log("error", "members-read-failed", { reason: describeError(err) }),
    );
};
