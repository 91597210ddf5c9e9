/**
 * Returns the key of the object that stores the budget plan of a region.
 *
 * @param region - name of the region
 * @returns the key in the platform's object store
 */
export const getPlanKey = (region: string): string => `budgets/${region}`;
