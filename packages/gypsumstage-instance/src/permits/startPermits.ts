import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { createRpcClient } from "@gypsumstage/shared/createRpcClient";
import type { Log } from "@gypsumstage/shared/Log";
import { choosePermitIssuer } from "@gypsumstage/steering/traffic/choosePermitIssuer";
import { computeIssuedShare } from "@gypsumstage/steering/traffic/computeIssuedShare";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import { createEndpointCache } from "../upstream/createEndpointCache.js";
import type { EndpointRateLimits } from "../upstream/EndpointRateLimits.js";
import { createPermitIssuer } from "./createPermitIssuer.js";
import { createPermitQuery } from "./createPermitQuery.js";
import { createRequestPermits } from "./createRequestPermits.js";
import type { PermitIssuer } from "./PermitIssuer.js";
import type { RequestPermits } from "./RequestPermits.js";

/** Time-out of a query: a few round trips between regions, as a request waits for it. */
const QUERY_TIMEOUT_MS = 250;
/** Time for which the issuer of an endpoint is kept, as ranking the instances for each request costs too much. */
const ISSUER_TTL_MS = 500;

type PermitInstance = Pick<PeerReport, "name" | "dataCentre" | "region" | "internalAddress" | "isReady">;

/** Permits of an instance, and its part in issuing those of all. */
interface Permits {
    readonly permits: RequestPermits;
    readonly issuer: PermitIssuer;
    readonly stop: () => Promise<void>;
}

/**
 * Starts the permits for requests to rate-limited endpoints. One instance near the endpoint issues them to all others.
 *
 * @param self - returns this instance as the others see it
 * @param peers - the reports of the other instances
 * @param view - returns the current fleet view
 * @param rateLimits - the limits that endpoints stated
 * @param metrics - counts granted and denied permits
 * @param log - receives denials and failed queries
 * @returns the permits and the issuer of this instance
 */
export const startPermits = (
    self: () => PermitInstance,
    peers: Pick<PeerExchange, "live" | "all" | "isSettled">,
    view: () => FleetView,
    rateLimits: EndpointRateLimits,
    metrics: Pick<InstanceMetrics, "countPermit">,
    log: Log,
): Permits => {
    const rpc = createRpcClient(QUERY_TIMEOUT_MS);
    const listReady = (records: ReturnType<PeerExchange["all"]>): readonly PermitInstance[] =>
        [self(), ...records.map(peer => peer.report)].filter(instance => instance.isReady);
    const findIssuer = createEndpointCache(ISSUER_TTL_MS, endpoint => {
        const ready = listReady(peers.live());
        const name = choosePermitIssuer(endpoint, ready);
        return ready.find(instance => instance.name === name);
    });
    const isIssuer = (endpoint: UpstreamEndpoint): boolean =>
        peers.isSettled() && (findIssuer(endpoint)?.name ?? self().name) === self().name;
    const issuedShare = (endpoint: UpstreamEndpoint): number => {
        const live = new Set(listReady(peers.live()).map(instance => instance.name));
        return computeIssuedShare(endpoint, listReady(peers.all()), instance => live.has(instance.name));
    };
    const issuer = createPermitIssuer(id => view().endpoints.get(id), isIssuer, issuedShare, rateLimits);
    const query = createPermitQuery(self().name, findIssuer, issuer, rpc, log);
    return { permits: createRequestPermits(rateLimits, query, metrics), issuer, stop: rpc.close };
};
