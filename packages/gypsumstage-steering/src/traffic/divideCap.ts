/** Part of a share that is divided evenly, whatever the demand, so that a data centre's first requests find a permit. */
const EVEN_PART = 0.05;

/**
 * Decides which share of a cap a distributor gets: in proportion to its demand, and what exceeds all demand is divided evenly.
 *
 * @param total - share of the cap that may be granted to all distributors
 * @param ratePerSecond - rate of the whole cap
 * @param ownDemand - demand at the distributor, in requests per second
 * @param demand - demand at all distributors
 * @param distributors - number of distributors
 * @returns the distributor's share; those of all distributors add up to the total
 */
export const divideCap = (
    total: number,
    ratePerSecond: number,
    ownDemand: number,
    demand: number,
    distributors: number,
): number => {
    const available = ratePerSecond * total;
    const spare = Math.max(available - demand, EVEN_PART * Math.max(available, demand));
    const weight = demand + spare;
    return weight === 0 ? total / distributors : total * (ownDemand + spare / distributors) / weight;
};
