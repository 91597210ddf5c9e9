import type { PeerView } from "./PeerView.js";

/**
 * Lists the instances that can confirm the keys of workspaces. When none can, all are listed: they still serve public routes, and
 * tell callers when to come back.
 *
 * @param instances - the instances that accept requests
 * @returns the instances, in the given order
 */
export const listConfirmingInstances = (instances: readonly PeerView[]): readonly PeerView[] => {
    const confirming = instances.filter(instance => instance.isUnconfirmed !== true);
    return confirming.length > 0 ? confirming : instances;
};
