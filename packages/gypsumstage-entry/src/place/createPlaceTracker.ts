import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { MEMBER_LIST_MAX_LAG_MS } from "@gypsumstage/steering/MEMBER_LIST_MAX_LAG_MS";
import type { PlaceState } from "@gypsumstage/steering/PlaceState";
import { PLAN_LIFETIME_MS } from "@gypsumstage/steering/PLAN_LIFETIME_MS";
import { updatePlaces } from "@gypsumstage/steering/updatePlaces";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import type { PlaceTracker } from "./PlaceTracker.js";

const INITIAL_STATE: PlaceState = { acknowledged: {}, soleSinceMs: undefined, isOwner: false };

/**
 * Creates the tracker of the places of the data centre.
 *
 * @param cfg - settings of the instance
 * @param view - the steering view of the process
 * @param endpoints - the endpoint store, with the requests in flight
 * @returns the tracker
 */
export const createPlaceTracker = (
    cfg: InstanceSettings,
    view: Store<SteeringView, ViewEvent>,
    endpoints: Store<readonly EndpointState[], EndpointEvent>,
): PlaceTracker => {
    let state = INITIAL_STATE;
    let reported: Readonly<Record<string, string>> = {};
    const startedAtMs = monotonicNow();
    return {
        get: () => state,
        acknowledged: () => {
            const isExtraSlotInUse = endpoints.get().some(endpoint => endpoint.inFlight > endpoint.ownSlots);
            reported = isExtraSlotInUse ? reported : state.acknowledged;
            return reported;
        },
        mayUseExtraSlots: nowMs => {
            const readAtMs = view.get().membersReadAtMs;
            const isFresh = readAtMs !== undefined && nowMs - readAtMs < PLAN_LIFETIME_MS;
            // A list of members read soon after the start may be older than an acknowledgement sent by an earlier
            // process.
            return isFresh && nowMs - startedAtMs > MEMBER_LIST_MAX_LAG_MS;
        },
        refresh: () => {
            const next = updatePlaces(state, { view: view.get(), self: cfg.instance, nowMs: monotonicNow() });
            const isChanged = next !== state;
            state = next;
            return isChanged;
        },
    };
};
