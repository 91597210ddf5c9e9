import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";

const indexes = new WeakMap<TrafficPolicy, ReadonlyMap<string, Workspace>>();

const createIndex = ({ workspaces = [] }: TrafficPolicy): ReadonlyMap<string, Workspace> =>
    new Map(
        workspaces.flatMap(workspace => workspace.keyDigests.map(digest => [digest, workspace] as const)),
    );

/**
 * Finds the workspaces of a configuration by the digests of their keys. The index is built once for each configuration.
 *
 * @param policy - the configuration in force
 * @returns the workspace of each key, by the key's digest
 */
export const findWorkspaces = (policy: TrafficPolicy): ReadonlyMap<string, Workspace> => {
    const index = indexes.get(policy) ?? createIndex(policy);
    indexes.set(policy, index);
    return index;
};
