import type { ForceVerdict } from "@gypsumstage/domain/ForceVerdict";

/**
 * Combines verdicts: in force only where all are, unknown where any is.
 *
 * @param verdicts - the verdicts of the parts
 * @returns the verdict of the whole; unknown when there are no parts
 */
export const combineVerdicts = (verdicts: readonly ForceVerdict[]): ForceVerdict => {
    if (verdicts.length === 0 || verdicts.includes("unknown")) {
        return "unknown";
    }
    return verdicts.includes("behind") ? "behind" : "in-force";
};
