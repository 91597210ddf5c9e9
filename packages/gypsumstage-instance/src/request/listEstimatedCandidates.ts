import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { decayStatedSlowness } from "@gypsumstage/steering/traffic/decayStatedSlowness";
import type { EstimatedCandidate } from "@gypsumstage/steering/traffic/EstimatedCandidate";
import { estimateLoad } from "@gypsumstage/steering/traffic/estimateLoad";
import { estimateUnstatedLoad } from "@gypsumstage/steering/traffic/estimateUnstatedLoad";
import type { LoadEstimate } from "@gypsumstage/steering/traffic/LoadEstimate";
import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import { PRIMARY_SIDE_CANDIDATES } from "@gypsumstage/steering/traffic/PRIMARY_SIDE_CANDIDATES";
import { rankEndpoints } from "@gypsumstage/steering/traffic/rankEndpoints";
import type { RequestContext } from "./RequestContext.js";

/** Candidates of an object on the other side than its primary one. */
const OTHER_SIDE_CANDIDATES = 1;
/** Candidates beyond the usual ones on each side, for a request whose usual ones are likely full. */
const FURTHER_PRIMARY_SIDE = 4;
const FURTHER_OTHER_SIDE = 2;

/** What a request asks of its candidates. */
interface CandidateDemand {
    /** Identifies the object, for rendezvous hashing; any value when there is none. */
    readonly key: string;
    /** True when the request concerns an object whose data may be warm somewhere. */
    readonly isForObject: boolean;
    /** Typical time of the request on warm data, in milliseconds. */
    readonly workMs: number;
    /** Mean time of the requests that may wait ahead of it, in milliseconds. */
    readonly queueWorkMs: number;
}

/**
 * Lists the candidates of a request by the load that endpoints state. A request for an object has the usual candidates and a few
 * further ones in the object's rank order. Any other one has all endpoints of the side on which rendezvous hashing places it, which
 * is this region for as many requests as the region has capacity for.
 *
 * @param ctx - provides the loads, the requests in flight and the share of this region
 * @param service - the service that was chosen for the request
 * @param eligible - the endpoints that may receive the request
 * @param demand - what the request asks for
 * @param describe - returns what is known of an endpoint beside its load
 * @returns the candidates, the preferred ones first
 */
export const listEstimatedCandidates = (
    ctx: RequestContext,
    service: string,
    eligible: readonly UpstreamEndpoint[],
    demand: CandidateDemand,
    describe: (endpoint: UpstreamEndpoint) => Pick<
        PlacementCandidate,
        "id" | "region" | "roundTripMs" | "slowness" | "errorShare"
    >,
): readonly EstimatedCandidate[] => {
    const { key, isForObject, workMs, queueWorkMs } = demand;
    const { loads } = ctx.tracker;
    const nowMs = monotonicNow();
    const usualCount = isForObject ? PRIMARY_SIDE_CANDIDATES : eligible.length;
    const ranked = rankEndpoints(key, eligible, ctx.region, ctx.localPrimaryShare(service), {
        primarySide: usualCount + FURTHER_PRIMARY_SIDE,
        otherSide: OTHER_SIDE_CANDIDATES + FURTHER_OTHER_SIDE,
    });
    const isLocalPrimary = ranked[0]?.region === ctx.region;
    const isOnPrimarySide = (endpoint: UpstreamEndpoint): boolean =>
        (endpoint.region === ctx.region) === isLocalPrimary;
    const primarySideCount = ranked.filter(isOnPrimarySide).length;
    const isFurther = (index: number): boolean =>
        index < primarySideCount
            ? index >= usualCount
            : !isForObject || index >= primarySideCount + OTHER_SIDE_CANDIDATES;
    const stated = ranked.map(({ id }) => loads.figure(id)).filter(figure => figure !== undefined);
    const usualLoadPerSlot = stated.reduce(
        (sum, figure) => sum + figure.meanOthersInFlight / figure.load.slots,
        0,
    ) / Math.max(1, stated.length);
    const estimate = ({ id, slots }: UpstreamEndpoint): LoadEstimate => {
        const figure = loads.figure(id);
        const own = ctx.tracker.inFlightAt(id);
        const reported = ctx.peers.inFlight(id);
        return figure === undefined
            ? estimateUnstatedLoad(slots, usualLoadPerSlot, own, reported)
            : estimateLoad(figure, nowMs, own, reported, queueWorkMs);
    };
    const isAnyWarm = ranked.some(({ id }) => ctx.tracker.isWarm(id, key));
    return ranked.map((endpoint, index) => {
        const figure = loads.figure(endpoint.id);
        const described = describe(endpoint);
        return {
            ...described,
            ...estimate(endpoint),
            slots: figure?.load.slots ?? endpoint.slots,
            slowness: figure === undefined
                ? described.slowness
                : decayStatedSlowness(figure.load.slowness, described.slowness, nowMs - figure.statedAtMs),
            isOnPrimarySide: isOnPrimarySide(endpoint),
            isWarm: !isForObject || ctx.tracker.isWarm(endpoint.id, key) || (index === 0 && !isAnyWarm),
            isFurther: isFurther(index),
            workMs,
            queueWorkMs,
        };
    });
};
