import type { Drain } from "@gypsumstage/domain/Drain";
import type { Member } from "@gypsumstage/domain/Member";

/**
 * Creates the predicate for the members of the platform's list that are in the scope of a drain.
 *
 * @param drain - scope and name of the drain
 * @returns the predicate
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
