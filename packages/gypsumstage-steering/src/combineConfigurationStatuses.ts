import type { ConfigurationStatus } from "@gypsumstage/domain/ConfigurationStatus";

/**
 * Combines the statuses of several instances into one: `unknown` when any is unknown, `in-force` when all are in force,
 * else `behind`.
 *
 * @param statuses - the statuses of the instances
 * @returns the combined status; `unknown` for an empty list
 */
export const combineConfigurationStatuses = (
    statuses: readonly ConfigurationStatus[],
): ConfigurationStatus => {
    if (statuses.length === 0 || statuses.includes("unknown")) {
        return "unknown";
    }
    return statuses.includes("behind") ? "behind" : "in-force";
};
