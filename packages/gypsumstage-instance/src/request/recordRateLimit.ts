import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { AttemptClassification } from "@gypsumstage/steering/traffic/AttemptClassification";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";
import type { RequestContext } from "./RequestContext.js";

/**
 * Records the rate limit that an endpoint states in a response, or that it states none any more.
 *
 * @param ctx - provides the header codec; its rate limits are updated
 * @param endpoint - the endpoint to which the request was sent
 * @param outcome - the outcome of the attempt
 * @param classification - what the outcome means for the request
 */
export const recordRateLimit = (
    ctx: Pick<RequestContext, "headerCodec" | "rateLimits">,
    endpoint: UpstreamEndpoint,
    outcome: AttemptOutcome,
    classification: AttemptClassification,
): void => {
    const isFromEndpoint = classification.kind === "final"
        || (classification.kind === "not-run" && classification.reason !== "other-endpoint");
    if (outcome.kind !== "answered" || !isFromEndpoint) {
        return;
    }
    const ratePerSecond = ctx.headerCodec.readRateLimit(outcome.headers);
    // A refusal may be sent before the request reaches the part of the endpoint that states the limit.
    if (ratePerSecond !== undefined || classification.kind === "final") {
        ctx.rateLimits.observe(endpoint, ratePerSecond);
    }
};
