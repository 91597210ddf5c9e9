import type { ViewSyncAnswer } from "@gypsumstage/domain/ViewSyncAnswer";
import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";
import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { registerRepeat } from "@gypsumstage/shared/registerRepeat";
import { hearRecords } from "@gypsumstage/steering/hearRecords";
import type { ViewSync } from "./ViewSync.js";
import type { ViewSyncOptions } from "./ViewSyncOptions.js";

const SYNC_PERIOD_MS = 250;

/**
 * Keeps a role's view in step with the steer process of its instance. While that process is down the role
 * keeps the last view, which ages.
 *
 * @param options - the role, its view and how to reach the steer process
 * @returns the running synchronization
 */
export const registerViewSync = (options: ViewSyncOptions): ViewSync => {
    let membersVersion = "";
    let syncedAtMs: number | undefined;
    let isOfferWanted = false;
    let isReachable = true;
    const takeAnswer = (answer: ViewSyncAnswer, askedAtMs: number): void => {
        const { store } = options;
        if (answer.configuration !== undefined) {
            store.dispatch({ kind: "configuration-seen", configuration: answer.configuration });
        }
        if (answer.membersAgeMs !== undefined) {
            const readAtMs = askedAtMs - answer.membersAgeMs;
            store.dispatch(
                answer.members === undefined
                    ? { kind: "members-confirmed", readAtMs }
                    : { kind: "members-read", members: answer.members, readAtMs },
            );
        }
        if (answer.plan !== undefined && answer.planAgeMs !== undefined) {
            store.dispatch({ kind: "plan-read", plan: answer.plan, readAtMs: askedAtMs - answer.planAgeMs });
        }
        store.dispatch({
            kind: "records-heard",
            records: hearRecords(answer.records, askedAtMs),
            nowMs: monotonicNow(),
        });
        membersVersion = answer.membersVersion;
        isOfferWanted = answer.isBehind;
    };
    const syncNow = async (): Promise<void> => {
        const askedAtMs = monotonicNow();
        const { configuration } = options.store.get();
        const req: ViewSyncRequest = {
            role: options.role,
            generation: configuration?.generation ?? 0,
            membersVersion,
            status: options.readStatus(),
            offered: isOfferWanted ? configuration : undefined,
        };
        const res = await options.rpc.call<ViewSyncAnswer>(options.steerAddress, "view.sync", req);
        if (res.ok) {
            takeAnswer(res.value, askedAtMs);
            syncedAtMs = askedAtMs;
        }
        if (res.ok !== isReachable) {
            isReachable = res.ok;
            options.log(
                res.ok ? "info" : "warn",
                res.ok ? "steer-reachable" : "steer-unreachable",
                res.ok ? {} : { reason: res.error },
            );
        }
    };
    const stop = registerRepeat(
        syncNow,
        () => SYNC_PERIOD_MS,
        err => options.log("error", "sync-failed", { reason: describeError(err) }),
    );
    return { syncedAtMs: () => syncedAtMs, syncNow, stop };
};
