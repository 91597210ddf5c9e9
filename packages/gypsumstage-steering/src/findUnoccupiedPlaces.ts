import type { Member } from "@gypsumstage/domain/Member";

/**
 * Finds the places whose launches are all listed as `gone` by the platform. A place counts as occupied when another
 * launch is listed for it, or when its acknowledged launch is not listed as `gone`.
 *
 * @param places - names of the declared places
 * @param members - the platform's list of members
 * @param acknowledged - launch that occupies each place according to its own record, by place
 * @returns names of the unoccupied places
 */
export const findUnoccupiedPlaces = (
    places: readonly string[],
    members: readonly Member[],
    acknowledged: Readonly<Record<string, string>>,
): ReadonlySet<string> => {
    const unoccupied = new Set<string>();
    for (const place of places) {
        const launches = members.filter(member => member.kind === "instance" && member.name === place);
        const goneLaunches = launches.filter(member => member.state === "gone").map(member => member.launch);
        const acknowledgedLaunch = acknowledged[place];
        const isOccupied = launches.some(member => member.state !== "gone")
            || (acknowledgedLaunch !== undefined && !goneLaunches.includes(acknowledgedLaunch));
        if (goneLaunches.length > 0 && !isOccupied) {
            unoccupied.add(place);
        }
    }
    return unoccupied;
};
