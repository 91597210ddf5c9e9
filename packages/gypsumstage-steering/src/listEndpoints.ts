import { countOwnSlots } from "./countOwnSlots.js";
import type { EndpointEvent } from "./EndpointEvent.js";
import type { EndpointListInput } from "./EndpointListInput.js";
import { findUnoccupiedPlaces } from "./findUnoccupiedPlaces.js";
import { isDrained } from "./isDrained.js";

type Listed = Extract<EndpointEvent, { readonly kind: "listed"; }>["endpoints"];

/**
 * Lists the endpoints of an entry's data centre with the number of slots that the entry may use.
 *
 * @param input - the entry's view and the state of its place
 * @returns the endpoints; with 0 slots each while the entry does not own its place
 */
export const listEndpoints = ({ view, places, self }: EndpointListInput): Listed => {
    const { configuration } = view;
    if (configuration === undefined) {
        return [];
    }
    const declaredPlaces = Object.entries(configuration.intent.places)
        .filter(([, dataCentre]) => dataCentre === self.dataCentre)
        .map(([name]) => name);
    const unoccupied = findUnoccupiedPlaces(declaredPlaces, view.members, places.acknowledged);
    const noPlaces: ReadonlySet<string> = new Set();
    return view.members
        .filter(member => member.kind === "upstream")
        .filter(member => member.dataCentre === self.dataCentre && member.state !== "gone")
        .map(member => {
            const ownSlots = places.isOwner
                ? countOwnSlots(member.name, member.slots, declaredPlaces, noPlaces, self.name)
                : 0;
            const allSlots = places.isOwner
                ? countOwnSlots(member.name, member.slots, declaredPlaces, unoccupied, self.name)
                : 0;
            return {
                name: member.name,
                launch: member.launch,
                service: member.service,
                address: member.address,
                ownSlots,
                extraSlots: allSlots - ownSlots,
                isLeaving: member.state === "leaving"
                    || isDrained(configuration, member.dataCentre, member.name),
            };
        });
};
