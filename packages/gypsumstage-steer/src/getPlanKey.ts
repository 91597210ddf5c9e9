/**
 * Names the object that holds the budget plan of a region.
 *
 * @param region - the region
 * @returns its key in the platform
 */
export const getPlanKey = (region: string): string => `budgets/${region}`;
