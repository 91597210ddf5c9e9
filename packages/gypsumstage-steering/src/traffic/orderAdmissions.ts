import type { AdmissionRequest } from "./AdmissionRequest.js";
import type { AdmissionRule } from "./AdmissionRule.js";
import { computeAgedPriority } from "./computeAgedPriority.js";

interface RankedRequest<Request> {
    readonly request: Request;
    readonly rank: number;
    readonly isLate: number;
    readonly use: number;
}

/**
 * Orders the waiting requests of a service: by urgency, which grows as they wait; then those that can still be on time
 * before those that cannot; then by the recent use of their workspaces, each earlier request of the same workspace
 * counted, so that workspaces alternate; then by the time left. Workload: more requests than slots, a noisy workspace.
 *
 * @param requests - the waiting requests
 * @param rule - the rule of the service
 * @param workspaceUse - returns the recent starts of a workspace's requests
 * @param workMs - typical time of a request of the service
 * @param nowMs - current monotonic time
 * @returns the requests in the order in which they are to be started
 */
export const orderAdmissions = <Request extends AdmissionRequest>(
    requests: readonly Request[],
    rule: AdmissionRule,
    workspaceUse: (workspace: string | undefined) => number,
    workMs: number,
    nowMs: number,
): readonly Request[] => {
    const compareUrgency = (left: RankedRequest<Request>, right: RankedRequest<Request>): number =>
        left.rank - right.rank || left.isLate - right.isLate;
    const compareTimeLeft = (left: RankedRequest<Request>, right: RankedRequest<Request>): number =>
        left.request.deadlineAtMs - right.request.deadlineAtMs
        || left.request.arrivedAtMs - right.request.arrivedAtMs;
    const ranked = requests
        .map(request => ({
            request,
            rank: computeAgedPriority(request, rule, nowMs),
            isLate: nowMs + workMs > request.targetAtMs ? 1 : 0,
            use: 0,
        }))
        .sort((left, right) => compareUrgency(left, right) || compareTimeLeft(left, right));
    const useByWorkspace = new Map<string | undefined, number>();
    const withUse = ranked.map(each => {
        const { workspace } = each.request;
        const use = useByWorkspace.get(workspace) ?? workspaceUse(workspace);
        useByWorkspace.set(workspace, use + 1);
        return { ...each, use };
    });
    return withUse
        .sort((left, right) =>
            compareUrgency(left, right) || left.use - right.use || compareTimeLeft(left, right)
        )
        .map(each => each.request);
};
