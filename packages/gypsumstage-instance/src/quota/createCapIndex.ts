import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import { getQuotaGroup } from "@gypsumstage/steering/traffic/getQuotaGroup";
import type { UsageCap } from "./UsageCap.js";

/** The usage caps of the configuration in force. */
interface CapIndex {
    readonly find: (workspace: string) => UsageCap | undefined;
    /** Lists the caps of a group of workspaces. */
    readonly list: (group: number) => readonly UsageCap[];
    readonly hasCaps: () => boolean;
}

/**
 * Creates the index of usage caps by workspace, which is made once for each configuration.
 *
 * @param policy - returns the configuration in force
 * @param isEnforced - returns whether caps are enforced
 * @returns the index
 */
export const createCapIndex = (
    policy: () => TrafficPolicy | undefined,
    isEnforced: () => boolean,
): CapIndex => {
    let indexed: TrafficPolicy["workspaces"];
    let byName: ReadonlyMap<string, UsageCap> = new Map();
    const update = (): void => {
        const workspaces = policy()?.workspaces;
        if (workspaces !== indexed) {
            indexed = workspaces;
            const capped = (workspaces ?? []).filter(each => each.requestsPerSecond > 0);
            byName = new Map(
                capped.map((
                    { name, requestsPerSecond, burst },
                ) => [name, { name, requestsPerSecond, burst }]),
            );
        }
    };
    return {
        find: workspace => {
            update();
            return isEnforced() ? byName.get(workspace) : undefined;
        },
        list: group => {
            update();
            return [...byName.values()].filter(cap => getQuotaGroup(cap.name) === group);
        },
        hasCaps: () => {
            update();
            return isEnforced() && byName.size > 0;
        },
    };
};
