import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { createUniqueId } from "@gypsumstage/shared/createUniqueId";
import type { Store } from "@gypsumstage/shared/Store";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";

/**
 * Creates a version counter of the list of members, so that roles do not fetch an unchanged list again. Versions contain
 * the incarnation of the process, so those of a restarted process never match earlier ones.
 *
 * @param store - the steering view, whose changes of the list of members are counted
 * @returns `get`, which returns the current version, and `stop`, which ends the counting
 */
export const createMembersVersionCounter = (
    store: Store<SteeringView, ViewEvent>,
): { readonly get: () => string; readonly stop: () => void; } => {
    const incarnation = createUniqueId();
    let changeCount = 0;
    const stop = store.registerListener((view, previous) => {
        changeCount += view.members === previous.members ? 0 : 1;
    });
    return { get: () => `${incarnation}/${changeCount}`, stop };
};
