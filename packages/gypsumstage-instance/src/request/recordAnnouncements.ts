import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { AttemptClassification } from "@gypsumstage/steering/traffic/AttemptClassification";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";
import type { RequestContext } from "./RequestContext.js";

/**
 * Records what an endpoint states of itself in a response: its load, whether it is leaving, and whether it wants no requests
 * for some time.
 *
 * @param ctx - provides the header codec; its tracker and departures are updated
 * @param endpoint - the endpoint to which the request was sent
 * @param outcome - the outcome of the attempt
 * @param classification - what the outcome means for the request
 */
export const recordAnnouncements = (
    ctx: Pick<RequestContext, "headerCodec" | "tracker" | "departures">,
    endpoint: UpstreamEndpoint,
    outcome: AttemptOutcome,
    classification: AttemptClassification,
): void => {
    const isReassigned = classification.kind === "not-run" && classification.reason === "other-endpoint";
    if (outcome.kind !== "answered" || isReassigned) {
        return;
    }
    const load = ctx.headerCodec.readLoad(outcome.headers);
    if (load !== undefined) {
        ctx.tracker.loads.observe(endpoint.id, load);
    }
    if (ctx.headerCodec.readLeaving(outcome.headers)) {
        ctx.departures.observe(endpoint);
    }
    const pauseMs = ctx.headerCodec.readPauseMs(outcome.status, outcome.headers);
    if (pauseMs !== undefined) {
        ctx.tracker.recordHealthEvent(endpoint.id, { kind: "paused", untilMs: monotonicNow() + pauseMs });
    }
};
