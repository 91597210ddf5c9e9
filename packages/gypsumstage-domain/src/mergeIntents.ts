import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { diffIntents } from "./diffIntents.js";
import type { IntentChange } from "./IntentChange.js";
import type { IntentSections } from "./IntentSections.js";

const getChangeId = (change: IntentChange): string => `${change.section}\n${change.key}`;

const applyChange = (sections: IntentSections, change: IntentChange): IntentSections => {
    if (change.key === "") {
        const { [change.section]: section, ...otherSections } = sections;
        return change.to === undefined
            ? otherSections
            : { ...otherSections, [change.section]: section ?? {} };
    }
    const { [change.key]: previous, ...otherKeys } = sections[change.section] ?? {};
    void previous;
    return {
        ...sections,
        [change.section]: change.to === undefined ? otherKeys : { ...otherKeys, [change.key]: change.to },
    };
};

/**
 * Performs a three-way merge of two intents that different operators derived from the same base.
 *
 * @param base - the common base
 * @param theirs - the intent accepted since the base
 * @param yours - the intent to be accepted now
 * @returns the merged intent, or the changes of both sides if they conflict: one key was set to different
 * values, or one side edited a section that the other removed
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
    const theirValues = new Map(theirChanges.map(change => [getChangeId(change), change.to]));
    const isContradicted = (change: IntentChange): boolean =>
        theirValues.has(getChangeId(change)) && theirValues.get(getChangeId(change)) !== change.to;
    const removedSections = new Set(
        [...theirChanges, ...yourChanges].filter(change => change.key === "" && change.to === undefined).map(
            change => change.section,
        ),
    );
    const editsRemovedSection = (change: IntentChange): boolean =>
        removedSections.has(change.section) && change.to !== undefined;
    if (yourChanges.some(isContradicted) || [...theirChanges, ...yourChanges].some(editsRemovedSection)) {
        return failure({ theirs: theirChanges, yours: yourChanges });
    }
    // The removal of a section also lists the removals of its keys. The section itself is removed last, because a
    // later removal of a key would create it again.
    const ordered = [...yourChanges].sort((left, right) =>
        Number(left.key === "" && left.to === undefined) - Number(right.key === "" && right.to === undefined)
    );
    return success(ordered.reduce(applyChange, theirs));
};
