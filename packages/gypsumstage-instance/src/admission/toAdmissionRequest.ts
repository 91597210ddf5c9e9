import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { AdmissionRequest } from "@gypsumstage/steering/traffic/AdmissionRequest";
import type { CallerRequest } from "../request/CallerRequest.js";

/**
 * Returns what admission decides by.
 *
 * @param req - the caller's request
 * @param route - its route, with the priority of its workspace
 * @param deadlineAtMs - when the response is due, on the monotonic clock
 * @returns the figures of the request
 */
export const toAdmissionRequest = (
    req: Pick<CallerRequest, "workspace" | "arrivedAtMs">,
    route: Pick<Route, "priority" | "targetLatencyMs">,
    deadlineAtMs: number,
): AdmissionRequest => ({
    priority: route.priority,
    workspace: req.workspace?.name,
    arrivedAtMs: req.arrivedAtMs,
    targetAtMs: req.arrivedAtMs + route.targetLatencyMs,
    deadlineAtMs,
});
