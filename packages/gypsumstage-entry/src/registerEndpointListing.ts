import { listEndpoints } from "@gypsumstage/steering/listEndpoints";
import type { EntryContext } from "./EntryContext.js";

const REFRESH_MS = 500;

/**
 * Keeps the list of endpoints in step with the view: whenever the list, the configuration or the occupants of the
 * places change.
 *
 * @param context - the process
 * @returns the teardown
 */
export const registerEndpointListing = (context: EntryContext): () => void => {
    const { view, endpoints, places, cfg, slots, log } = context;
    const relist = (): void => {
        const listed = listEndpoints({ view: view.get(), places: places.get(), self: cfg.instance });
        endpoints.dispatch({ kind: "listed", endpoints: listed });
        slots.serve();
    };
    const judge = (): void => {
        const wasOwner = places.get().isOwner;
        if (places.refresh()) {
            relist();
        }
        if (places.get().isOwner !== wasOwner) {
            log(places.get().isOwner ? "info" : "warn", places.get().isOwner ? "place-taken" : "place-lost");
        }
    };
    const stopListening = view.registerListener((next, previous) => {
        const isRelevant = next.members !== previous.members || next.configuration !== previous.configuration;
        if (isRelevant) {
            places.refresh();
            relist();
        }
        else if (next.records !== previous.records) {
            judge();
        }
    });
    const timer = setInterval(judge, REFRESH_MS);
    return () => {
        stopListening();
        clearInterval(timer);
    };
};
