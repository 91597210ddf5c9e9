import { createStore } from "@gypsumstage/shared/createStore";
import { createUniqueId } from "@gypsumstage/shared/createUniqueId";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { createKeyTable } from "@gypsumstage/steering/createKeyTable";
import { EMPTY_VIEW } from "@gypsumstage/steering/EMPTY_VIEW";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { updateAttemptBudget } from "@gypsumstage/steering/updateAttemptBudget";
import { updateEndpoints } from "@gypsumstage/steering/updateEndpoints";
import { updateView } from "@gypsumstage/steering/updateView";
import { createLinkPacers } from "./attempt/createLinkPacers.js";
import { createBudgetTracker } from "./classify/createBudgetTracker.js";
import { createClassLimiter } from "./classify/createClassLimiter.js";
import { createLatencyTracker } from "./classify/createLatencyTracker.js";
import { createEntryMetrics } from "./createEntryMetrics.js";
import { createNonSteppingClock } from "./createNonSteppingClock.js";
import type { EntryContext } from "./EntryContext.js";
import type { EntryResources } from "./EntryResources.js";
import type { StoredResponse } from "./keyed/StoredResponse.js";
import { createMoveRamps } from "./place/createMoveRamps.js";
import { createPlaceTracker } from "./place/createPlaceTracker.js";
import { createSlotQueue } from "./place/createSlotQueue.js";

const MAX_KEYS = 200_000;
const KEY_WINDOW_MS = 600_000;
const INITIAL_RETRY_TOKENS = 1;

/**
 * Creates the modules of the entry process, each with its own state, and connects them.
 *
 * @param resources - settings, connections and callbacks
 * @returns the context shared by the modules
 */
export const createEntryContext = (resources: EntryResources): EntryContext => {
    const { cfg, viewAtMs } = resources;
    const { region } = cfg.instance;
    const view = createStore(EMPTY_VIEW, updateView);
    const endpoints = createStore<readonly EndpointState[], EndpointEvent>([], updateEndpoints);
    const placeTracker = createPlaceTracker(cfg, view, endpoints);
    const budgetTracker = createBudgetTracker(cfg, view, () => placeTracker.get().isOwner);
    const classLimiter = createClassLimiter(region, budgetTracker.getUsable);
    const slotQueue = createSlotQueue(endpoints, classLimiter, placeTracker.mayUseExtraSlots);
    const nowMs = createNonSteppingClock();
    const keyTable = createKeyTable<StoredResponse>({ capacity: MAX_KEYS, windowMs: KEY_WINDOW_MS, nowMs });
    const listUsableBudgets = () =>
        budgetTracker.list().map(({ resource }) => ({
            resource,
            usable: budgetTracker.getUsable(resource) ?? 0,
        }));
    const metrics = createEntryMetrics({
        freeSlots: () => slotQueue.freeSlots("short"),
        budgets: listUsableBudgets,
        viewAgeMs: () => monotonicNow() - viewAtMs(),
        generation: () => view.get().configuration?.generation ?? 0,
        keys: keyTable.size,
        slowedEndpoints: () => endpoints.get().filter(endpoint => endpoint.isSlowed).length,
    });
    return {
        ...resources,
        incarnation: createUniqueId(),
        view,
        endpoints,
        placeTracker,
        budgetTracker,
        classLimiter,
        linkPacers: createLinkPacers(region, budgetTracker.getUsable),
        slotQueue,
        latencyTracker: createLatencyTracker(endpoints),
        attemptBudget: createStore(
            { retryTokens: INITIAL_RETRY_TOKENS, hedgeTokens: 0 },
            updateAttemptBudget,
        ),
        moveRamps: createMoveRamps(region, view),
        keyTable,
        metrics,
    };
};
