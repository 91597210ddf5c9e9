import type { ViewSyncAnswer } from "@gypsumstage/domain/ViewSyncAnswer";
import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { ageRecords } from "@gypsumstage/steering/ageRecords";
import type { SteerContext } from "./SteerContext.js";

/**
 * Answers a role of the instance that asks for news.
 *
 * @param context - the process
 * @param req - what the role reported and has already
 * @param membersVersion - version of the list that the process holds
 * @returns the news
 */
export const handleViewSync = (
    context: SteerContext,
    req: ViewSyncRequest,
    membersVersion: string,
): ViewSyncAnswer => {
    const { store, local } = context;
    local.report(req);
    if (req.offered !== undefined) {
        store.dispatch({ kind: "configuration-seen", configuration: req.offered });
    }
    const nowMs = monotonicNow();
    store.dispatch({
        kind: "records-heard",
        records: [{ ...context.ownRecord(), heardAtMs: nowMs }],
        nowMs,
    });
    const view = store.get();
    const generation = view.configuration?.generation ?? 0;
    return {
        configuration: generation > req.generation ? view.configuration : undefined,
        members: membersVersion === req.membersVersion ? undefined : view.members,
        membersVersion,
        membersAgeMs: view.membersReadAtMs === undefined ? undefined : nowMs - view.membersReadAtMs,
        records: ageRecords(view.records, nowMs),
        plan: view.plan,
        planAgeMs: view.planConfirmedAtMs === undefined ? undefined : nowMs - view.planConfirmedAtMs,
        isBehind: generation < req.generation,
    };
};
