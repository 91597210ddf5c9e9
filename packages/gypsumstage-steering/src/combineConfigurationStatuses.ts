import type { ConfigurationStatus } from "@gypsumstage/domain/ConfigurationStatus";

/**
 * Combines the states of several instances into one: `unknown` when any is unknown, `in-force` when all are in force.
 *
 * @param verdicts - the states of the instances
 * @returns the combined state; `unknown` for an empty list
 */
export const combineConfigurationStatuses = (
    verdicts: readonly ConfigurationStatus[],
): ConfigurationStatus => {
    if (verdicts.length === 0 || verdicts.includes("unknown")) {
        return "unknown";
    }
    return verdicts.includes("behind") ? "behind" : "in-force";
};
