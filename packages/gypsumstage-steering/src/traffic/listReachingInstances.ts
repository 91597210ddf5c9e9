import type { PeerView } from "./PeerView.js";

/**
 * Lists the instances that reach all services of a host. When none does, all are listed: callers are then told what is wrong
 * by an instance in place of finding none.
 *
 * @param instances - the instances that accept requests
 * @param services - names of the services to which the host's routes lead
 * @returns the instances, in the given order
 */
export const listReachingInstances = (
    instances: readonly PeerView[],
    services: ReadonlySet<string>,
): readonly PeerView[] => {
    const reaching = instances.filter(({ cutServices = [] }) =>
        !cutServices.some(service => services.has(service))
    );
    return reaching.length > 0 ? reaching : instances;
};
