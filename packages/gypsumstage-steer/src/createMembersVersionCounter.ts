import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { createNonce } from "@gypsumstage/shared/createNonce";
import type { Store } from "@gypsumstage/shared/Store";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";

/**
 * Numbers the lists of members that a process holds, so that roles need not fetch a list again. A restarted
 * process starts with another name, so its numbers never match earlier ones.
 *
 * @param store - the view
 * @returns the current version, and the teardown
 */
export const createMembersVersionCounter = (
    store: Store<SteeringView, ViewEvent>,
): { readonly get: () => string; readonly stop: () => void; } => {
    const process = createNonce();
    let count = 0;
    const stop = store.registerListener((view, previous) => {
        count += view.members === previous.members ? 0 : 1;
    });
    return { get: () => `${process}/${count}`, stop };
};
