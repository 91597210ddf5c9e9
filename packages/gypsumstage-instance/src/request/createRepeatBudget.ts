import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { countEvents } from "@gypsumstage/steering/traffic/countEvents";
import { countRepeatsLeft } from "@gypsumstage/steering/traffic/countRepeatsLeft";
import type { RetryBounds } from "@gypsumstage/steering/traffic/RetryBounds";
import type { SlidingCount } from "@gypsumstage/steering/traffic/SlidingCount";
import type { RetryBudget } from "./RetryBudget.js";

const EMPTY: SlidingCount = { steps: new Map() };

/**
 * Creates the budget of retries and hedges, which is kept for each service over a sliding window.
 *
 * @param bounds - returns the limits for all instances together
 * @param fleetSize - returns the number of instances that share the limits
 * @returns this instance's part of the budget
 */
export const createRepeatBudget = (bounds: () => RetryBounds, fleetSize: () => number): RetryBudget => {
    const requests = new Map<string, SlidingCount>();
    const retries = new Map<string, SlidingCount>();
    const addAndSum = (counts: Map<string, SlidingCount>, service: string, events: number): number => {
        const next = countEvents(counts.get(service) ?? EMPTY, monotonicNow(), bounds().windowMs, events);
        counts.set(service, next.count);
        return next.total;
    };
    const countLeft = (service: string): number =>
        countRepeatsLeft(
            bounds(),
            addAndSum(requests, service, 0),
            addAndSum(retries, service, 0),
            fleetSize(),
        );
    return {
        countRequest: service => {
            addAndSum(requests, service, 1);
        },
        demand: () =>
            Object.fromEntries(
                [...requests.keys()].map(service => [service, addAndSum(requests, service, 0)]),
            ),
        left: () => Object.fromEntries([...requests.keys()].map(service => [service, countLeft(service)])),
        tryTake: service => {
            const isAllowed = countLeft(service) >= 1;
            if (isAllowed) {
                addAndSum(retries, service, 1);
            }
            return isAllowed;
        },
    };
};
