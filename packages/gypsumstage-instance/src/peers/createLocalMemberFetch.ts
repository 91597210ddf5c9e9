import { chooseAtRandom } from "@gypsumstage/steering/traffic/chooseAtRandom";
import type { MemberFetch } from "./MemberFetch.js";

/** Fetches the records of this instance's data centre, whose instances tell each other by reports only. */
interface LocalMemberFetch {
    /** Notes an instance of the data centre that was just met, and may know others of it. */
    readonly meet: (address: string) => void;
    /** Fetches the records if there is a reason to, and the last fetch is long enough ago. */
    readonly fetchIfNeeded: () => void;
}

/**
 * Creates the fetches. While this instance is joining they go to any live instance, else to each newcomer.
 *
 * @param memberFetch - fetches from an address
 * @param isJoining - returns whether this instance may not know its data centre yet
 * @param listLive - returns the addresses of the live instances
 * @param chooseSeed - returns a seed at random; undefined when there is none
 * @returns the fetches
 */
export const createLocalMemberFetch = (
    memberFetch: Pick<MemberFetch, "requestOwn">,
    isJoining: () => boolean,
    listLive: () => readonly string[],
    chooseSeed: () => string | undefined,
): LocalMemberFetch => {
    let newcomer: string | undefined;
    const chooseSource = (): string | undefined => {
        if (newcomer !== undefined) {
            return newcomer;
        }
        return isJoining() ? chooseAtRandom(listLive(), 1, Math.random)[0] ?? chooseSeed() : undefined;
    };
    return {
        meet: address => {
            newcomer = address;
        },
        fetchIfNeeded: () => {
            const source = chooseSource();
            if (source !== undefined && memberFetch.requestOwn(source)) {
                newcomer = undefined;
            }
        },
    };
};
