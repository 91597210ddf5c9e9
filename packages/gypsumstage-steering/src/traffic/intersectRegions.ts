/**
 * Returns the regions that two restrictions permit.
 *
 * @param left - one restriction; empty permits all regions
 * @param right - the other one
 * @returns the regions in both; when they have none in common, that is empty too
 */
export const intersectRegions = (left: readonly string[], right: readonly string[]): readonly string[] => {
    if (left.length === 0 || right.length === 0) {
        return left.length === 0 ? right : left;
    }
    return left.filter(region => right.includes(region));
};
