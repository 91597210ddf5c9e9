import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import type { MemberRecord } from "./MemberRecord.js";

/** Instances that get the full reports of each instance, if there are as many. */
const MIN_CONTACTS = 8;

type Location = Pick<MemberRecord, "name" | "dataCentre" | "region">;

/**
 * Chooses the instances that get the full reports of an instance: all of its data centre, and where these are few some of its
 * region, then of others. They are the ones that notice when it dies. Their number follows the size of a data centre, which
 * does not grow with the fleet.
 *
 * @param own - the instance that sends the reports
 * @param members - the other instances
 * @returns the contacts
 */
export const chooseReportContacts = <Member extends Location>(
    own: Location,
    members: readonly Member[],
): readonly Member[] => {
    const mates = members.filter(member => member.dataCentre === own.dataCentre);
    if (mates.length >= MIN_CONTACTS) {
        return mates;
    }
    const others = new Map(
        members.filter(member => member.dataCentre !== own.dataCentre).map(member => [member.name, member]),
    );
    const rank = (isInRegion: boolean): readonly string[] =>
        rankByRendezvousHash(
            `contacts/${own.name}`,
            [...others.values()].filter(each => (each.region === own.region) === isInRegion).map(each =>
                each.name
            ),
        );
    const added = [...rank(true), ...rank(false)].slice(0, MIN_CONTACTS - mates.length);
    return [...mates, ...added.map(name => others.get(name)).filter(member => member !== undefined)];
};
