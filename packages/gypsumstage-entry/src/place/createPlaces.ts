import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { LIST_LAG_MS } from "@gypsumstage/steering/LIST_LAG_MS";
import type { PlaceState } from "@gypsumstage/steering/PlaceState";
import { PLAN_LIFETIME_MS } from "@gypsumstage/steering/PLAN_LIFETIME_MS";
import { updatePlaces } from "@gypsumstage/steering/updatePlaces";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import type { Places } from "./Places.js";

const START: PlaceState = { acknowledged: {}, soleSinceMs: undefined, isOwner: false };

/**
 * Creates the follower of the places of the data centre.
 *
 * @param cfg - settings of the instance
 * @param view - what the process knows
 * @param endpoints - the endpoints with their requests in flight
 * @returns the follower
 */
export const createPlaces = (
    cfg: InstanceSettings,
    view: Store<SteeringView, ViewEvent>,
    endpoints: Store<readonly EndpointState[], EndpointEvent>,
): Places => {
    let state = START;
    let told: Readonly<Record<string, string>> = {};
    const startedAtMs = monotonicNow();
    return {
        get: () => state,
        acknowledged: () => {
            const isExtraInUse = endpoints.get().some(endpoint => endpoint.inFlight > endpoint.ownSlots);
            told = isExtraInUse ? told : state.acknowledged;
            return told;
        },
        mayUseExtra: nowMs => {
            const readAtMs = view.get().membersReadAtMs;
            const isFresh = readAtMs !== undefined && nowMs - readAtMs < PLAN_LIFETIME_MS;
            // A list read soon after the start may lag behind an acknowledgement that an earlier process gave.
            return isFresh && nowMs - startedAtMs > LIST_LAG_MS;
        },
        refresh: () => {
            const next = updatePlaces(state, { view: view.get(), self: cfg.instance, nowMs: monotonicNow() });
            const isChanged = next !== state;
            state = next;
            return isChanged;
        },
    };
};
