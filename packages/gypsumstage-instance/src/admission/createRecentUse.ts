import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { DecayingCount } from "@gypsumstage/steering/traffic/DecayingCount";
import { readDecayingCount } from "@gypsumstage/steering/traffic/readDecayingCount";

/** Count below which a workspace is treated as one that has not used the service. */
const NEGLIGIBLE_COUNT = 0.01;

/** Recent starts by workspace. */
interface RecentUse {
    readonly add: (workspace: string | undefined) => void;
    readonly read: (workspace: string | undefined) => number;
}

/**
 * Creates the counts of the recent starts of each workspace's requests. Workspaces that have used little are dropped.
 *
 * @param decayMs - time in which a count falls to 1/e
 * @returns the counts, all 0
 */
export const createRecentUse = (decayMs: number): RecentUse => {
    const counts = new Map<string | undefined, DecayingCount>();
    let sweptAtMs = monotonicNow();
    const read = (workspace: string | undefined): number =>
        readDecayingCount(counts.get(workspace), monotonicNow(), decayMs);
    const sweep = (): void => {
        sweptAtMs = monotonicNow();
        [...counts.keys()]
            .filter(workspace => read(workspace) < NEGLIGIBLE_COUNT)
            .forEach(workspace => counts.delete(workspace));
    };
    return {
        add: workspace => {
            counts.set(workspace, { amount: read(workspace) + 1, atMs: monotonicNow() });
            if (monotonicNow() - sweptAtMs > decayMs) {
                sweep();
            }
        },
        read,
    };
};
