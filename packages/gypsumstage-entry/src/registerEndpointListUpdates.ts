import { listEndpoints } from "@gypsumstage/steering/listEndpoints";
import type { EntryContext } from "./EntryContext.js";

const REFRESH_INTERVAL_MS = 500;

/**
 * Updates the list of endpoints whenever the list of members, the configuration or the occupants of the places change.
 * The occupants are also evaluated periodically, because they depend on the passage of time.
 *
 * @param context - the view and the places that are observed, and the endpoint store that is updated
 * @returns the function that stops the updates
 */
export const registerEndpointListUpdates = (context: EntryContext): () => void => {
    const { view, endpoints, placeTracker, cfg, slotQueue, log } = context;
    const updateEndpointList = (): void => {
        const listed = listEndpoints({ view: view.get(), places: placeTracker.get(), self: cfg.instance });
        endpoints.dispatch({ kind: "listed", endpoints: listed });
        slotQueue.assignFreeSlots();
    };
    const refreshPlaces = (): void => {
        const wasOwner = placeTracker.get().isOwner;
        if (placeTracker.refresh()) {
            updateEndpointList();
        }
        if (placeTracker.get().isOwner !== wasOwner) {
            log(
                placeTracker.get().isOwner ? "info" : "warn",
                placeTracker.get().isOwner ? "place-taken" : "place-lost",
            );
        }
    };
    const unregister = view.registerListener((next, previous) => {
        const isRelevant = next.members !== previous.members || next.configuration !== previous.configuration;
        if (isRelevant) {
            placeTracker.refresh();
            updateEndpointList();
        }
        else if (next.records !== previous.records) {
            refreshPlaces();
        }
    });
    const timer = setInterval(refreshPlaces, REFRESH_INTERVAL_MS);
    return () => {
        unregister();
        clearInterval(timer);
    };
};
