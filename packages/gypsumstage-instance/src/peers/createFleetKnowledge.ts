import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { FleetKnowledge } from "@gypsumstage/steering/traffic/FleetKnowledge";
import { isFleetKnown } from "@gypsumstage/steering/traffic/isFleetKnown";

/** Time after it has found the first other instance in which an instance fetches the records of its data centre. */
const JOIN_MS = 1_000;

/** Tracks how far an instance knows the others. */
interface FleetKnowledgeTracker {
    /** Records the number of other instances known by now. */
    readonly update: (knownCount: number, nowMs: number) => void;
    /** Whether it is some time since the first other instance was found. */
    readonly hasJoined: () => boolean;
    /** Whether this instance may use its part of what all instances have together. */
    readonly isSettled: () => boolean;
    /** Whether the number of known instances is one by which a limit may be divided. */
    readonly isSizeKnown: () => boolean;
}

const classifySeeds = (seeds: readonly string[], ownAddress: string): FleetKnowledge["seeds"] => {
    if (seeds.length === 0) {
        return "none";
    }
    return seeds.some(seed => seed !== ownAddress) ? "others" : "self";
};

/**
 * Creates the tracker at the start of an instance, which knows nobody.
 *
 * @param getSeeds - returns the seeds of the present settings
 * @param ownAddress - internal address of this instance
 * @param isConfirmedAlone - returns whether others would have been found by now
 * @returns the tracker
 */
export const createFleetKnowledge = (
    getSeeds: () => readonly string[],
    ownAddress: string,
    isConfirmedAlone: () => boolean,
): FleetKnowledgeTracker => {
    const startedAtMs = monotonicNow();
    let metAtMs: number | undefined;
    const getJoinedMs = (): number | undefined =>
        metAtMs === undefined ? undefined : monotonicNow() - metAtMs;
    const getSeedKind = (): FleetKnowledge["seeds"] => classifySeeds(getSeeds(), ownAddress);
    const isSettled = (): boolean =>
        isFleetKnown({
            runningMs: monotonicNow() - startedAtMs,
            joinedMs: getJoinedMs(),
            seeds: getSeedKind(),
            isConfirmedAlone: isConfirmedAlone(),
        });
    return {
        update: (knownCount, nowMs) => {
            if (knownCount > 0) {
                metAtMs ??= nowMs;
            }
        },
        hasJoined: () => (getJoinedMs() ?? 0) >= JOIN_MS,
        isSettled,
        isSizeKnown: () => metAtMs !== undefined || getSeedKind() === "none" || isSettled(),
    };
};
