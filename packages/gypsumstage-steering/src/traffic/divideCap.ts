import type { CapBudget } from "./CapBudget.js";

/** Least part that is divided evenly, whatever the demand, so that a data centre's first requests find a permit. */
const EVEN_PART = 0.03;
/** Permits that a distributor with demand can hold at least; below 1 it could never grant any. */
const MIN_STOCK = 1.2;
/** Largest part that these least stocks may take. */
const MAX_FLOOR_PART = 0.5;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/**
 * Divides a cap among distributors: in proportion to their demand, and what exceeds all demand evenly. Many workspaces have few
 * requests in a data centre, so each distributor with demand gets at least what it needs to hold a permit.
 *
 * @param total - share of the cap that may be granted to all distributors
 * @param budget - what all instances together may issue of the cap
 * @param demands - demand at each distributor, in requests per second
 * @returns the share of each distributor; they add up to the total
 */
export const divideCap = (
    total: number,
    budget: CapBudget,
    demands: readonly number[],
): readonly number[] => {
    const active = demands.filter(demand => demand > 0).length;
    if (active === 0) {
        return demands.map(() => total / demands.length);
    }
    const available = budget.ratePerSecond * total;
    const spare = Math.max(0, available - sum(demands));
    const evenPart = available === 0 ? 1 : Math.max(EVEN_PART, spare / available);
    const idleShare = total * evenPart / demands.length;
    const activeTotal = total - idleShare * (demands.length - active);
    const floor = Math.min(MIN_STOCK / budget.stock, MAX_FLOOR_PART * activeTotal / active);
    const toWeight = (demand: number): number => demand + spare / demands.length;
    const weights = sum(demands.filter(demand => demand > 0).map(toWeight));
    return demands.map(demand =>
        demand > 0 ? floor + (activeTotal - active * floor) * toWeight(demand) / weights : idleShare
    );
};
