import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";
import type { ViewSyncResponse } from "@gypsumstage/domain/ViewSyncResponse";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { convertTimesToAges } from "@gypsumstage/steering/convertTimesToAges";
import type { SteerContext } from "./SteerContext.js";

/**
 * Handles the RPC `view.sync`: records the report of a role of this instance and returns the updates that it lacks.
 *
 * @param context - the view, the record of this instance, and the tracker of the roles' reports
 * @param req - status of the role, and versions of its data
 * @param membersVersion - version of this process's list of members
 * @returns the updates; the configuration and the list of members are undefined when the role already has them
 */
export const handleViewSync = (
    context: SteerContext,
    req: ViewSyncRequest,
    membersVersion: string,
): ViewSyncResponse => {
    const { store, localRoles } = context;
    localRoles.recordReport(req);
    if (req.offered !== undefined) {
        store.dispatch({ kind: "configuration-seen", configuration: req.offered });
    }
    const nowMs = monotonicNow();
    store.dispatch({
        kind: "records-heard",
        records: [{ ...context.getOwnRecord(), lastSeenAtMs: nowMs }],
        nowMs,
    });
    const view = store.get();
    const generation = view.configuration?.generation ?? 0;
    return {
        configuration: generation > req.generation ? view.configuration : undefined,
        members: membersVersion === req.membersVersion ? undefined : view.members,
        membersVersion,
        membersAgeMs: view.membersReadAtMs === undefined ? undefined : nowMs - view.membersReadAtMs,
        records: convertTimesToAges(view.records, nowMs),
        plan: view.plan,
        planAgeMs: view.planConfirmedAtMs === undefined ? undefined : nowMs - view.planConfirmedAtMs,
        isBehind: generation < req.generation,
    };
};
