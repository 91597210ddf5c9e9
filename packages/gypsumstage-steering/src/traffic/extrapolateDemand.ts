/** Demand for a service, in the region and in all regions. */
interface RegionDemand {
    readonly local: number;
    readonly total: number;
}

/**
 * Extrapolates the demand by its change since an earlier time, as demand is counted over a window and so known late, while a
 * peak moves on.
 *
 * @param earlier - the demand at the earlier time
 * @param current - the demand now
 * @returns the demand after as much time again, with the same total
 */
export const extrapolateDemand = (earlier: RegionDemand, current: RegionDemand): RegionDemand => {
    if (earlier.total === 0 || current.total === 0) {
        return current;
    }
    const part = current.local / current.total;
    const expectedPart = Math.max(0, Math.min(1, part + part - earlier.local / earlier.total));
    return { local: expectedPart * current.total, total: current.total };
};
