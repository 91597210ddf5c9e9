/**
 * Computes the share of a region's objects that have their home, and so their primary endpoint, in the region
 * itself. When callers are spread evenly over the regions but endpoints are not, a region with few endpoints would
 * be home to more objects than its endpoints can keep warm, while other regions have capacity left. The share is
 * therefore the region's share of the slots divided by its share of the demand, at most 1.
 *
 * @param slots - slots of the service's endpoints, in the region and in all regions
 * @param demand - requests for the service, in the region and in all regions, in any unit
 * @returns the share, 0 to 1
 */
export const chooseHomeShare = (
    slots: { readonly near: number; readonly all: number; },
    demand: { readonly near: number; readonly all: number; },
): number => {
    if (slots.near === 0) {
        return 0;
    }
    if (slots.near === slots.all || demand.near === 0 || demand.all === 0) {
        return 1;
    }
    return Math.min(1, slots.near / slots.all / (demand.near / demand.all));
};
