import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { ReachMonitor } from "../reach/ReachMonitor.js";
import type { SuspectRequests } from "./SuspectRequests.js";

/**
 * Records that an endpoint has ended, as its port is closed, unless this instance reaches no endpoint of the service at all: then its
 * links are cut, and the endpoint is not known to have ended.
 *
 * @param reach - checks the links to the service
 * @param suspects - receives the end
 * @param endpoint - the endpoint whose port is closed
 */
export const recordEndIfReached = async (
    reach: Pick<ReachMonitor, "check">,
    suspects: Pick<SuspectRequests, "recordEnd">,
    endpoint: UpstreamEndpoint,
): Promise<void> => {
    if (await reach.check(endpoint.service)) {
        suspects.recordEnd(endpoint);
    }
};
