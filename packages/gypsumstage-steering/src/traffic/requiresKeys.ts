import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";

/**
 * Decides whether requests on routes that aren't public need a key. The number of keys has no influence: where the last one was
 * removed, no request is accepted.
 *
 * @param policy - the configuration in force
 * @param isForWorkspaces - whether the settings call for workspaces, so that a configuration without any admits nobody
 * @returns true when a key is needed
 */
export const requiresKeys = (
    { workspaces = [] }: Pick<TrafficPolicy, "workspaces">,
    isForWorkspaces: boolean,
): boolean => isForWorkspaces || workspaces.length > 0;
