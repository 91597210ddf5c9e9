import type { ForceVerdict } from "@gypsumstage/domain/ForceVerdict";

/**
 * Combines the states of several instances into one: `unknown` when any is unknown, `in-force` when all are in force.
 *
 * @param verdicts - the states of the instances
 * @returns the combined state; `unknown` for an empty list
 */
export const combineVerdicts = (verdicts: readonly ForceVerdict[]): ForceVerdict => {
    if (verdicts.length === 0 || verdicts.includes("unknown")) {
        return "unknown";
    }
    return verdicts.includes("behind") ? "behind" : "in-force";
};
