import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { diffIntents } from "./diffIntents.js";
import type { IntentChange } from "./IntentChange.js";
import type { IntentSections } from "./IntentSections.js";

const identify = (change: IntentChange): string => `${change.section}\n${change.key}`;

const applyChange = (sections: IntentSections, change: IntentChange): IntentSections => {
    if (change.key === "") {
        const { [change.section]: section, ...rest } = sections;
        return change.to === undefined ? rest : { ...rest, [change.section]: section ?? {} };
    }
    const { [change.key]: old, ...others } = sections[change.section] ?? {};
    void old;
    return {
        ...sections,
        [change.section]: change.to === undefined ? others : { ...others, [change.key]: change.to },
    };
};

/**
 * Merges two changes made to one base by different operators.
 *
 * @param base - what both started from
 * @param theirs - what was accepted meanwhile
 * @param yours - what is to be accepted now
 * @returns the merged intent, or both changes when they touch one thing
 */
export const mergeIntents = (
    base: IntentSections,
    theirs: IntentSections,
    yours: IntentSections,
): Result<
    IntentSections,
    { readonly theirs: readonly IntentChange[]; readonly yours: readonly IntentChange[]; }
> => {
    const theirChanges = diffIntents(base, theirs);
    const yourChanges = diffIntents(base, yours);
    const taken = new Map(theirChanges.map(change => [identify(change), change.to]));
    const isTorn = (change: IntentChange): boolean =>
        taken.has(identify(change)) && taken.get(identify(change)) !== change.to;
    const removed = new Set(
        [...theirChanges, ...yourChanges].filter(each => each.key === "" && each.to === undefined).map(each =>
            each.section
        ),
    );
    const touchesRemoved = (change: IntentChange): boolean =>
        removed.has(change.section) && change.to !== undefined;
    if (yourChanges.some(isTorn) || [...theirChanges, ...yourChanges].some(touchesRemoved)) {
        return failure({ theirs: theirChanges, yours: yourChanges });
    }
    // A removed section also lists its keys as removed: the section goes last.
    const ordered = [...yourChanges].sort((left, right) =>
        Number(left.key === "" && left.to === undefined) - Number(right.key === "" && right.to === undefined)
    );
    return success(ordered.reduce(applyChange, theirs));
};
