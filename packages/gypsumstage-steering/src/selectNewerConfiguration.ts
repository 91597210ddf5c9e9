import type { Configuration } from "@gypsumstage/domain/Configuration";

/**
 * Returns the configuration of the higher generation, so that the generation in force never decreases.
 *
 * @param current - the configuration in force; undefined before the first one
 * @param incoming - a configuration read from the platform or received from a peer
 * @returns the configuration to keep; `current` when both generations are equal
 */
export const selectNewerConfiguration = (
    current: Configuration | undefined,
    incoming: Configuration,
): Configuration => current !== undefined && current.generation >= incoming.generation ? current : incoming;
