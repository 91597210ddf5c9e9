import { countOwnSlots } from "./countOwnSlots.js";
import type { EndpointEvent } from "./EndpointEvent.js";
import type { EndpointListing } from "./EndpointListing.js";
import { findGonePlaces } from "./findGonePlaces.js";
import { isDrained } from "./isDrained.js";

type Listed = Extract<EndpointEvent, { readonly kind: "listed"; }>["endpoints"];

/**
 * Lists the endpoints of an entry's data centre with the slots that belong to its place.
 *
 * @param listing - what the entry knows
 * @returns the endpoints; without slots while the entry does not own its place
 */
export const listEndpoints = ({ view, places, self }: EndpointListing): Listed => {
    const { configuration } = view;
    if (configuration === undefined) {
        return [];
    }
    const neighbours = Object.entries(configuration.intent.places)
        .filter(([, dataCentre]) => dataCentre === self.dataCentre)
        .map(([name]) => name);
    const gone = findGonePlaces(neighbours, view.members, places.acknowledged);
    const none: ReadonlySet<string> = new Set();
    return view.members
        .filter(member => member.kind === "upstream")
        .filter(member => member.dataCentre === self.dataCentre && member.state !== "gone")
        .map(member => {
            const own = places.isOwner
                ? countOwnSlots(member.name, member.slots, neighbours, none, self.name)
                : 0;
            const all = places.isOwner
                ? countOwnSlots(member.name, member.slots, neighbours, gone, self.name)
                : 0;
            return {
                name: member.name,
                launch: member.launch,
                service: member.service,
                address: member.address,
                ownSlots: own,
                extraSlots: all - own,
                isLeaving: member.state === "leaving"
                    || isDrained(configuration, member.dataCentre, member.name),
            };
        });
};
