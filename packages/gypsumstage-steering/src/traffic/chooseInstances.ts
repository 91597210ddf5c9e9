import type { LookupQuestion } from "@gypsumstage/domain/traffic/LookupQuestion";
import type { PeerView } from "./PeerView.js";

/** Instances named at least, so that a caller has another one when the first fails. */
const MIN_NAMED = 2;
/** The most instances that an answer names. */
const MAX_NAMED = 64;

/**
 * Chooses the instances that a caller should use: those of its own data centre, and as many near ones as it
 * takes to have a second. Where its region has none, those of regions in which the host's requests may run come
 * first, because a request's body must not go to another region. Instances that leave or were not heard of lately are not named.
 *
 * @param question - where the caller is
 * @param instances - the instances that live and take requests, this one included
 * @param homeRegions - regions in which the host's requests may run; empty when all may be
 * @returns their addresses, `IP:port`; empty when there is none
 */
export const chooseInstances = (
    question: LookupQuestion,
    instances: readonly PeerView[],
    homeRegions: readonly string[],
): readonly string[] => {
    const distance = (instance: PeerView): number => {
        if (instance.dataCentre === question.dataCentre) {
            return 0;
        }
        if (instance.region === question.region) {
            return 1;
        }
        return homeRegions.length === 0 || homeRegions.includes(instance.region) ? 2 : 3;
    };
    const nearest = Math.min(...instances.map(distance));
    const sorted = [...instances].sort((left, right) =>
        distance(left) - distance(right) || (left.name < right.name ? -1 : 1)
    );
    const named = sorted.filter((instance, index) => {
        const isNear = distance(instance) <= Math.max(1, nearest);
        return distance(instance) === nearest || (index < MIN_NAMED && isNear);
    });
    return named.slice(0, MAX_NAMED).map(instance => instance.address);
};
