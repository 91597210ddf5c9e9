import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { countEvents } from "@gypsumstage/steering/traffic/countEvents";
import { countRepeatsLeft } from "@gypsumstage/steering/traffic/countRepeatsLeft";
import type { RetryBounds } from "@gypsumstage/steering/traffic/RetryBounds";
import type { SlidingCount } from "@gypsumstage/steering/traffic/SlidingCount";
import type { RepeatBudget } from "./RepeatBudget.js";

const EMPTY: SlidingCount = { steps: new Map() };

/**
 * Creates the budget of second attempts, by service.
 *
 * @param bounds - the bounds over all instances
 * @param fleetSize - how many instances share them
 * @returns the budget
 */
export const createRepeatBudget = (bounds: () => RetryBounds, fleetSize: () => number): RepeatBudget => {
    const requests = new Map<string, SlidingCount>();
    const repeats = new Map<string, SlidingCount>();
    const add = (counts: Map<string, SlidingCount>, service: string, events: number): number => {
        const next = countEvents(counts.get(service) ?? EMPTY, monotonicNow(), bounds().windowMs, events);
        counts.set(service, next.count);
        return next.total;
    };
    const left = (service: string): number =>
        countRepeatsLeft(bounds(), add(requests, service, 0), add(repeats, service, 0), fleetSize());
    return {
        countRequest: service => {
            add(requests, service, 1);
        },
        demand: () =>
            Object.fromEntries([...requests.keys()].map(service => [service, add(requests, service, 0)])),
        left: () => Object.fromEntries([...requests.keys()].map(service => [service, left(service)])),
        take: service => {
            const isAllowed = left(service) >= 1;
            if (isAllowed) {
                add(repeats, service, 1);
            }
            return isAllowed;
        },
    };
};
