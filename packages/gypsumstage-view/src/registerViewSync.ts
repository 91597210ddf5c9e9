import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";
import type { ViewSyncResponse } from "@gypsumstage/domain/ViewSyncResponse";
import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import { convertAgesToTimes } from "@gypsumstage/steering/convertAgesToTimes";
import type { ViewSync } from "./ViewSync.js";
import type { ViewSyncOptions } from "./ViewSyncOptions.js";

const SYNC_INTERVAL_MS = 250;

/**
 * Synchronizes a role's view periodically with the steer process of its instance. While that process is unreachable,
 * the role keeps the last view, whose age grows.
 *
 * @param options - role, store of the view, and access to the steer process
 * @returns the running synchronization; the caller stops it
 */
export const registerViewSync = (options: ViewSyncOptions): ViewSync => {
    let membersVersion = "";
    let syncedAtMs: number | undefined;
    let isSteerBehind = false;
    let isReachable = true;
    const applyResponse = (res: ViewSyncResponse, requestedAtMs: number): void => {
        const { store } = options;
        if (res.configuration !== undefined) {
            store.dispatch({ kind: "configuration-seen", configuration: res.configuration });
        }
        if (res.membersAgeMs !== undefined) {
            const readAtMs = requestedAtMs - res.membersAgeMs;
            store.dispatch(
                res.members === undefined
                    ? { kind: "members-confirmed", readAtMs }
                    : { kind: "members-read", members: res.members, readAtMs },
            );
        }
        if (res.plan !== undefined && res.planAgeMs !== undefined) {
            store.dispatch({ kind: "plan-read", plan: res.plan, readAtMs: requestedAtMs - res.planAgeMs });
        }
        store.dispatch({
            kind: "records-heard",
            records: convertAgesToTimes(res.records, requestedAtMs),
            nowMs: monotonicNow(),
        });
        membersVersion = res.membersVersion;
        isSteerBehind = res.isBehind;
    };
    const syncNow = async (): Promise<void> => {
        const requestedAtMs = monotonicNow();
        const { configuration } = options.store.get();
        const req: ViewSyncRequest = {
            role: options.role,
            generation: configuration?.generation ?? 0,
            membersVersion,
            status: options.readStatus(),
            offered: isSteerBehind ? configuration : undefined,
        };
        const res = await options.rpc.call<ViewSyncResponse>(options.steerAddress, "view.sync", req);
        if (res.ok) {
            applyResponse(res.value, requestedAtMs);
            syncedAtMs = requestedAtMs;
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
    const stop = startPeriodicTask(
        syncNow,
        () => SYNC_INTERVAL_MS,
        err => options.log("error", "sync-failed", { reason: describeError(err) }),
    );
    return { syncedAtMs: () => syncedAtMs, syncNow, stop };
};
