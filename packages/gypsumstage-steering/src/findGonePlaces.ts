import type { Member } from "@gypsumstage/domain/Member";

/**
 * Finds the places whose occupant the platform declares gone. A place with another launch listed, or with a
 * launch that was acknowledged and is not declared gone, is occupied.
 *
 * @param places - the declared places
 * @param members - the platform's list
 * @param acknowledged - launch known from its own record, by place
 * @returns names of the places that nobody occupies
 */
export const findGonePlaces = (
    places: readonly string[],
    members: readonly Member[],
    acknowledged: Readonly<Record<string, string>>,
): ReadonlySet<string> => {
    const gone = new Set<string>();
    for (const place of places) {
        const launches = members.filter(member => member.kind === "instance" && member.name === place);
        const goneLaunches = launches.filter(member => member.state === "gone").map(member => member.launch);
        const known = acknowledged[place];
        const isOccupied = launches.some(member => member.state !== "gone")
            || (known !== undefined && !goneLaunches.includes(known));
        if (goneLaunches.length > 0 && !isOccupied) {
            gone.add(place);
        }
    }
    return gone;
};
