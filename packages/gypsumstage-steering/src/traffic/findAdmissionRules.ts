import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import type { AdmissionRule } from "./AdmissionRule.js";

const listPriorities = (policy: TrafficPolicy): ReadonlyMap<string, readonly number[]> => {
    const priorities = new Map<string, readonly number[]>();
    const add = (route: Route, service: string): void => {
        priorities.set(service, [...priorities.get(service) ?? [], route.priority]);
    };
    policy.routes.forEach(route => route.targets.forEach(target => add(route, target.service)));
    return priorities;
};

/**
 * Finds the services whose requests are admitted by urgency and workspace: all of them when the configuration has
 * workspaces. Workload: kinds of requests, and workspaces, that compete for the slots of a service. Without workspaces
 * requests are served first come first served: the caller's own kinds queue at the endpoints, where no slot waits for an
 * instance to hear that it is free.
 *
 * @param policy - the configuration in force
 * @returns the rule of each service with admission
 */
export const findAdmissionRules = (policy: TrafficPolicy): ReadonlyMap<string, AdmissionRule> => {
    const workspaces = policy.workspaces ?? [];
    if (workspaces.length === 0) {
        return new Map();
    }
    const ofWorkspaces = workspaces.flatMap(({ priority }) => priority === undefined ? [] : [priority]);
    return new Map(
        [...listPriorities(policy)].map(([service, ofRoutes]) => [
            service,
            { mostUrgent: Math.min(...ofRoutes, ...ofWorkspaces) },
        ]),
    );
};
