import { createNonce } from "@gypsumstage/shared/createNonce";
import { createStore } from "@gypsumstage/shared/createStore";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { createKeyTable } from "@gypsumstage/steering/createKeyTable";
import { EMPTY_VIEW } from "@gypsumstage/steering/EMPTY_VIEW";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { updateAttemptBudget } from "@gypsumstage/steering/updateAttemptBudget";
import { updateEndpoints } from "@gypsumstage/steering/updateEndpoints";
import { updateView } from "@gypsumstage/steering/updateView";
import { createLinkPacers } from "./attempt/createLinkPacers.js";
import { createBudgetKeeper } from "./classify/createBudgetKeeper.js";
import { createClassCaps } from "./classify/createClassCaps.js";
import { createLatencyKeeper } from "./classify/createLatencyKeeper.js";
import { createEntryMetrics } from "./createEntryMetrics.js";
import { createSteadyClock } from "./createSteadyClock.js";
import type { EntryContext } from "./EntryContext.js";
import type { EntryResources } from "./EntryResources.js";
import type { StoredAnswer } from "./keyed/StoredAnswer.js";
import { createMoveRamps } from "./place/createMoveRamps.js";
import { createPlaces } from "./place/createPlaces.js";
import { createSlotQueue } from "./place/createSlotQueue.js";

const KEY_CAPACITY = 200_000;
const KEY_WINDOW_MS = 600_000;
const FIRST_TOKENS = 1;

/**
 * Creates the state and the tasks of the entry, each around its own state, and connects them.
 *
 * @param resources - settings, connections and clocks
 * @returns what the parts of the process work with
 */
export const createEntryContext = (resources: EntryResources): EntryContext => {
    const { cfg, viewAtMs } = resources;
    const { region } = cfg.instance;
    const view = createStore(EMPTY_VIEW, updateView);
    const endpoints = createStore<readonly EndpointState[], EndpointEvent>([], updateEndpoints);
    const places = createPlaces(cfg, view, endpoints);
    const budgets = createBudgetKeeper(cfg, view, () => places.get().isOwner);
    const classCaps = createClassCaps(region, budgets.usable);
    const slots = createSlotQueue(endpoints, classCaps, places.mayUseExtra);
    const nowMs = createSteadyClock();
    const keys = createKeyTable<StoredAnswer>({ capacity: KEY_CAPACITY, windowMs: KEY_WINDOW_MS, nowMs });
    const listBudgetUse = () =>
        budgets.list().map(({ resource }) => ({ resource, usable: budgets.usable(resource) ?? 0 }));
    const metrics = createEntryMetrics({
        freeSlots: () => slots.freeSlots("short"),
        budgets: listBudgetUse,
        viewAgeMs: () => monotonicNow() - viewAtMs(),
        generation: () => view.get().configuration?.generation ?? 0,
        keys: keys.size,
        slowedEndpoints: () => endpoints.get().filter(endpoint => endpoint.isSlowed).length,
    });
    return {
        ...resources,
        incarnation: createNonce(),
        view,
        endpoints,
        places,
        budgets,
        classCaps,
        linkPacers: createLinkPacers(region, budgets.usable),
        slots,
        latencies: createLatencyKeeper(endpoints),
        attempts: createStore({ retryTokens: FIRST_TOKENS, hedgeTokens: 0 }, updateAttemptBudget),
        moves: createMoveRamps(region, view),
        keys,
        metrics,
    };
};
