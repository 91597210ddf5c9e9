import { rankByRendezvousHash } from "./rankByRendezvousHash.js";

/**
 * Counts the slots of an endpoint that are assigned to a place. Each slot is assigned to one of the occupied places
 * by rendezvous hashing. Marking a place as unoccupied reassigns only the slots of that place, so processes whose
 * lists differ never count a slot twice.
 *
 * @param endpoint - name of the endpoint, the seed of the hash
 * @param slots - total number of slots of the endpoint
 * @param places - declared places of the data centre
 * @param unoccupied - places known to be unoccupied; an incomplete set is safe
 * @param self - the place to count for
 * @returns the number of slots assigned to `self`
 */
export const countOwnSlots = (
    endpoint: string,
    slots: number,
    places: readonly string[],
    unoccupied: ReadonlySet<string>,
    self: string,
): number => {
    const occupied = places.filter(place => !unoccupied.has(place));
    let count = 0;
    for (let slot = 0; slot < slots; slot++) {
        count += rankByRendezvousHash(`${endpoint}#${slot}`, occupied)[0] === self ? 1 : 0;
    }
    return count;
};
