import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { issuePermits } from "@gypsumstage/steering/traffic/issuePermits";
import type { PermitState } from "@gypsumstage/steering/traffic/PermitState";
import type { EndpointRateLimits } from "../upstream/EndpointRateLimits.js";
import type { PermitIssuer } from "./PermitIssuer.js";

/** Wait of a holder that asks an instance which is not the issuer: until views of the fleet agree again. */
const OTHER_ISSUER_RETRY_AFTER_MS = 250;

/**
 * Creates the issuer of permits of this instance.
 *
 * @param findEndpoint - returns an endpoint by its id; undefined when it is not registered
 * @param isIssuer - returns whether this instance is the issuer for an endpoint
 * @param issuedShare - returns the share, 0 to 1, of an endpoint's rate limit that this instance may issue
 * @param rateLimits - the limits that this instance knows
 * @returns the issuer, which has issued nothing
 */
export const createPermitIssuer = (
    findEndpoint: (id: string) => UpstreamEndpoint | undefined,
    isIssuer: (endpoint: UpstreamEndpoint) => boolean,
    issuedShare: (endpoint: UpstreamEndpoint) => number,
    rateLimits: Pick<EndpointRateLimits, "ratePerSecond">,
): PermitIssuer => {
    const states = new Map<string, PermitState>();
    const dropUnregistered = (): void => {
        for (const id of [...states.keys()].filter(each => findEndpoint(each) === undefined)) {
            states.delete(id);
        }
    };
    return {
        issue: ({ endpointId, holder, ratePerSecond }) => {
            const endpoint = findEndpoint(endpointId);
            if (endpoint === undefined || !isIssuer(endpoint)) {
                states.delete(endpointId);
                return { kind: "denied", retryAfterMs: OTHER_ISSUER_RETRY_AFTER_MS };
            }
            if (!states.has(endpointId)) {
                dropUnregistered();
            }
            const limit = Math.min(ratePerSecond, rateLimits.ratePerSecond(endpoint) ?? ratePerSecond);
            const { decision, state } = issuePermits(
                states.get(endpointId),
                holder,
                limit * issuedShare(endpoint),
                monotonicNow(),
            );
            states.set(endpointId, state);
            return decision;
        },
    };
};
