import type { Drain } from "@gypsumstage/domain/Drain";
import type { Member } from "@gypsumstage/domain/Member";

/**
 * Makes the test whether a member of the platform's list lies in what is drained.
 *
 * @param drain - the drain
 * @returns the test
 */
export const createDrainPredicate = (drain: Pick<Drain, "scope" | "name">) => (member: Member): boolean => {
    switch (drain.scope) {
        case "endpoint":
            return member.name === drain.name;
        case "dataCentre":
            return member.dataCentre === drain.name;
        case "region":
            return member.region === drain.name;
    }
};
