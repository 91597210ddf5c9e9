import type { PeerReport } from "./PeerReport.js";

type RelayCandidate = Pick<
    PeerReport,
    "name" | "region" | "isReady" | "cutServices" | "isUnconfirmed"
>;

/** What a relay must reach and where it may be. */
interface RelayRequirements {
    readonly service: string;
    /** Regions in which the request and its body may be; empty for all. */
    readonly permittedRegions: readonly string[];
    /** Instances that are not to be chosen. */
    readonly excludedNames: ReadonlySet<string>;
}

/**
 * Chooses the instance through which a request is served when this instance does not reach the service: one that
 * does, at random, so that all of them share the load, even when only one is left in a data centre.
 *
 * @param candidates - the live instances that take requests of others
 * @param requirements - what the relay must reach and where it may be
 * @param ownRegion - region of this instance; instances there are preferred
 * @param random - returns a number from 0 up to 1
 * @returns the instance, or undefined when none is known to reach the service
 */
export const chooseRelay = <Candidate extends RelayCandidate>(
    candidates: readonly Candidate[],
    requirements: RelayRequirements,
    ownRegion: string,
    random: () => number,
): Candidate | undefined => {
    const { service, permittedRegions, excludedNames } = requirements;
    const reaching = candidates.filter(candidate =>
        candidate.isReady
        && !(candidate.cutServices ?? []).includes(service)
        && !excludedNames.has(candidate.name)
        && (permittedRegions.length === 0 || permittedRegions.includes(candidate.region))
    );
    const confirming = reaching.filter(candidate => candidate.isUnconfirmed !== true);
    const usable = confirming.length > 0 ? confirming : reaching;
    const near = usable.filter(candidate => candidate.region === ownRegion);
    const nearest = near.length > 0 ? near : usable;
    return nearest[Math.floor(random() * nearest.length)];
};
