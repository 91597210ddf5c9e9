/**
 * Chooses the part of a region's objects that are kept at endpoints of the region itself. The load pattern it
 * answers: callers are spread evenly over the regions and endpoints are not, so a region with few endpoints
 * would keep more objects than its endpoints hold warm, while others have room.
 *
 * @param slots - slots of the service's endpoints in the region, and in all
 * @param demand - requests for the service from the region, and from all, in any unit
 * @returns the part, 0 to 1
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
