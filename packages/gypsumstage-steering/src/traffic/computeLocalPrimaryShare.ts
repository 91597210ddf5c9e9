/**
 * Computes the share of the objects requested in a region whose primary endpoint should be in that region. When
 * callers are spread evenly over the regions but endpoints are not, a region with few endpoints would have the
 * primary endpoints of more objects than these can keep warm, while other regions have capacity left. The share
 * is therefore the region's share of the slots divided by its share of the demand, at most 1.
 *
 * @param slots - slots of the service's endpoints, in the region and in all regions
 * @param demand - requests for the service, in the region and in all regions, in any unit
 * @returns the share, 0 to 1
 */
export const computeLocalPrimaryShare = (
    slots: { readonly local: number; readonly total: number; },
    demand: { readonly local: number; readonly total: number; },
): number => {
    if (slots.local === 0) {
        return 0;
    }
    if (slots.local === slots.total || demand.local === 0 || demand.total === 0) {
        return 1;
    }
    return Math.min(1, slots.local / slots.total / (demand.local / demand.total));
};
