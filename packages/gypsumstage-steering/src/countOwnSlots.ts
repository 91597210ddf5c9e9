import { rendezvous } from "./rendezvous.js";

/**
 * Counts the slots of an endpoint that belong to a place. Each slot goes to one of the occupied places by
 * rendezvous hashing. Declaring a place gone moves only that place's slots, so processes whose lists differ
 * never count one slot twice.
 *
 * @param endpoint - name of the endpoint
 * @param slots - slots of the endpoint
 * @param places - declared places of the data centre
 * @param gone - places that nobody occupies, as far as the asking process may rely on it
 * @param self - the place that asks
 * @returns the number of slots that the place may fill
 */
export const countOwnSlots = (
    endpoint: string,
    slots: number,
    places: readonly string[],
    gone: ReadonlySet<string>,
    self: string,
): number => {
    const occupied = places.filter(place => !gone.has(place));
    let own = 0;
    for (let slot = 0; slot < slots; slot++) {
        own += rendezvous(`${endpoint}#${slot}`, occupied)[0] === self ? 1 : 0;
    }
    return own;
};
