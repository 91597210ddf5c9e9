import type { RouteTarget } from "@gypsumstage/domain/traffic/RouteTarget";
import { hashText } from "../hashText.js";
import type { SplitState } from "./SplitState.js";

/** Share by which a service may exceed its weighted share before its requests go to another service. */
const MAX_SHARE_DEVIATION = 0.03;
/** Requests after which older ones are decayed, so that a change of the weights soon takes effect. */
const DECAY_WINDOW_REQUESTS = 400;
const HASH_RANGE = 2 ** 32;

const selectByHash = (targets: readonly RouteTarget[], key: string): string | undefined => {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let point = hashText(`split/${key}`) / HASH_RANGE * total;
    for (const target of targets) {
        point -= target.weight;
        if (point < 0) {
            return target.service;
        }
    }
    return targets.at(-1)?.service;
};

/**
 * Chooses the service of a request on a route that is split by weight. Requests for the same object go to the
 * same service, where its data are warm, as long as that service is near its weighted share. When the load is
 * skewed towards few objects and the service exceeds its share, the request goes to the service that is furthest
 * below its own.
 *
 * @param targets - the services and their weights; those without weight get no requests
 * @param state - how earlier requests of the route were split
 * @param key - identifies the object that the request concerns
 * @returns the service (undefined when no target has weight) and the next state
 */
export const chooseTarget = (
    targets: readonly RouteTarget[],
    state: SplitState,
    key: string,
): { readonly service: string | undefined; readonly state: SplitState; } => {
    const weighted = targets.filter(target => target.weight > 0);
    if (weighted.length <= 1) {
        return { service: weighted[0]?.service, state };
    }
    const totalWeight = weighted.reduce((sum, target) => sum + target.weight, 0);
    const totalRequests = weighted.reduce(
        (sum, target) => sum + (state.requestsByService[target.service] ?? 0),
        0,
    );
    const shareDeficit = (target: RouteTarget): number =>
        target.weight / totalWeight
        - ((state.requestsByService[target.service] ?? 0) + 1) / (totalRequests + 1);
    const preferred = weighted.find(target => target.service === selectByHash(weighted, key));
    const mostUnderShare = weighted.reduce((left, right) =>
        shareDeficit(right) > shareDeficit(left) ? right : left
    );
    const isPreferredWithinShare = preferred !== undefined && shareDeficit(preferred) >= -MAX_SHARE_DEVIATION;
    const chosen = isPreferredWithinShare ? preferred : mostUnderShare;
    const decay = totalRequests >= DECAY_WINDOW_REQUESTS ? 1 - 1 / DECAY_WINDOW_REQUESTS : 1;
    const requestsByService = Object.fromEntries(weighted.map(target => {
        const before = (state.requestsByService[target.service] ?? 0) * decay;
        return [target.service, before + (target === chosen ? 1 : 0)];
    }));
    return { service: chosen.service, state: { requestsByService } };
};
