import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { addEvents } from "@gypsumstage/steering/traffic/addEvents";
import { countRetriesLeft } from "@gypsumstage/steering/traffic/countRetriesLeft";
import type { RetryBudgetConfig } from "@gypsumstage/steering/traffic/RetryBudgetConfig";
import type { SlidingWindowCounter } from "@gypsumstage/steering/traffic/SlidingWindowCounter";
import type { RetryBudget } from "./RetryBudget.js";

const EMPTY: SlidingWindowCounter = { buckets: new Map() };

/**
 * Creates the budget of retries and hedges, which is kept for each service over a sliding window.
 *
 * @param cfg - returns the budget of all instances together
 * @param fleetSize - returns the number of instances that share the budget; undefined while it isn't known
 * @returns this instance's part of the budget
 */
export const createRetryBudget = (
    cfg: () => RetryBudgetConfig,
    fleetSize: () => number | undefined,
): RetryBudget => {
    const requests = new Map<string, SlidingWindowCounter>();
    const retries = new Map<string, SlidingWindowCounter>();
    const addAndSum = (
        counters: Map<string, SlidingWindowCounter>,
        service: string,
        events: number,
    ): number => {
        const next = addEvents(counters.get(service) ?? EMPTY, monotonicNow(), cfg().windowMs, events);
        counters.set(service, next.counter);
        return next.total;
    };
    const countLeft = (service: string): number =>
        countRetriesLeft(
            cfg(),
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
        remaining: () =>
            Object.fromEntries([...requests.keys()].map(service => [service, countLeft(service)])),
        tryTake: service => {
            const isAllowed = countLeft(service) >= 1;
            if (isAllowed) {
                addAndSum(retries, service, 1);
            }
            return isAllowed;
        },
    };
};
