import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { AttemptClassification } from "@gypsumstage/steering/traffic/AttemptClassification";
import { classifyResponse } from "@gypsumstage/steering/traffic/classifyResponse";
import { recordEndIfReached } from "../suspects/recordEndIfReached.js";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { FinishedAttempt } from "./FinishedAttempt.js";
import { recordAnnouncements } from "./recordAnnouncements.js";
import { recordRateLimit } from "./recordRateLimit.js";
import type { RequestContext } from "./RequestContext.js";
import type { RunningAttempt } from "./RunningAttempt.js";

const classifyOutcome = (
    ctx: RequestContext,
    req: CallerRequest,
    outcome: AttemptOutcome,
): AttemptClassification => {
    switch (outcome.kind) {
        case "answered":
            return classifyResponse({
                ...ctx.headerCodec.readResponse(outcome.status, outcome.headers, req.id),
                isFirstOnConnection: outcome.isFirstOnConnection,
            });
        case "not-sent":
            return { kind: "not-run", reason: outcome.reason };
        case "broken":
            return { kind: "unknown", reason: outcome.reason };
        case "aborted":
            return outcome.wasSent
                ? { kind: "unknown", reason: "given-up" }
                : { kind: "not-run", reason: "given-up" };
    }
};

const wasSent = (outcome: AttemptOutcome): boolean =>
    outcome.kind === "answered" || outcome.kind === "broken"
    || (outcome.kind === "aborted" && outcome.wasSent);

/**
 * Sends a request to an endpoint. When the attempt finishes, classifies its outcome, records what it shows of the
 * endpoint (health, latency, stated load, rate limit, departure, reachability) and of the request as a suspect, updates
 * the metrics, and logs a failure.
 *
 * @param ctx - provides the connection pool and the header codec; its tracker, limiters, departures, reach monitor, suspect
 * requests, metrics and log are updated
 * @param req - the caller's request
 * @param endpoint - the endpoint to which the request is sent
 * @param key - identifies the object, to record where its data are warm
 * @param deadlineAtMs - when the response is due, on the monotonic clock; the endpoint
 * receives the time until then
 * @param targetLatencyMs - the target latency of the route, in milliseconds, on which the typical latency of
 * a service without measurements is based
 * @returns the running attempt
 */
export const startAttempt = (
    ctx: RequestContext,
    req: CallerRequest,
    endpoint: UpstreamEndpoint,
    key: string,
    deadlineAtMs: number,
    targetLatencyMs: number,
): RunningAttempt => {
    const { tracker } = ctx;
    const startedAtMs = monotonicNow();
    const isWarm = tracker.isWarm(endpoint.id, key);
    const remainingMs = Math.max(1, Math.floor(deadlineAtMs - startedAtMs));
    if (tracker.health(endpoint.id).coldUntilMs > startedAtMs) {
        ctx.coldRateLimiter.take(endpoint);
    }
    if (ctx.rateLimits.ratePerSecond(endpoint) !== undefined) {
        ctx.metrics.countRateLimitedAttempt(endpoint.service);
    }
    const endInFlight = tracker.trackRequest(endpoint.id, key);
    const attempt = ctx.pool.send(endpoint.address, {
        method: req.method,
        path: req.path,
        headers: { ...req.headers, ...ctx.headerCodec.upstreamHeaders(endpoint.id, remainingMs) },
        body: req.body,
    });
    const recordHealth = (outcome: AttemptOutcome, classification: AttemptClassification): void => {
        const nowMs = monotonicNow();
        if (classification.kind === "not-run" && classification.reason === "other-endpoint") {
            tracker.recordHealthEvent(endpoint.id, { kind: "leaving", nowMs });
        }
        else if (outcome.kind === "not-sent" || outcome.kind === "broken") {
            tracker.recordHealthEvent(endpoint.id, { kind: "unreachable", nowMs });
        }
        else if (outcome.kind === "answered") {
            const isGood = classification.kind === "final" && !classification.isError;
            const typicalMs = tracker.typicalMs(endpoint.service, targetLatencyMs);
            const load = ctx.headerCodec.readLoad(outcome.headers);
            // A latency includes the wait and the length of the request; the statement doesn't.
            const statedSlowness = ctx.choosesByStatedLoad() ? load?.slowness : undefined;
            const observedSlowness = isGood && isWarm ? (nowMs - startedAtMs) / typicalMs : undefined;
            tracker.recordHealthEvent(endpoint.id, {
                kind: "answered",
                nowMs,
                slowness: statedSlowness ?? observedSlowness,
                isError: !isGood,
            });
            if (isGood) {
                tracker.recordLatency(endpoint.service, nowMs - startedAtMs);
            }
            if (isGood && load?.waiting === 0) {
                tracker.workTimes.record(endpoint.service, targetLatencyMs, nowMs - startedAtMs);
            }
        }
    };
    const recordSuspect = (outcome: AttemptOutcome, classification: AttemptClassification): void => {
        const isReassigned = classification.kind === "not-run" && classification.reason === "other-endpoint";
        if (outcome.kind === "answered" && !isReassigned) {
            ctx.suspects.recordResponse(endpoint, startedAtMs);
        }
        if (outcome.kind === "broken") {
            ctx.suspects.recordBroken(endpoint, req.fingerprint);
        }
        else if (outcome.kind === "aborted" && outcome.wasSent && !tracker.health(endpoint.id).isLeaving) {
            ctx.suspects.recordSilent(endpoint, req.fingerprint);
        }
        else if (outcome.kind === "not-sent" && outcome.isPortClosed) {
            void recordEndIfReached(ctx.reach, ctx.suspects, endpoint);
        }
        else if (classification.kind === "final" && !classification.isError) {
            ctx.suspects.recordSuccess(req.fingerprint);
        }
    };
    const finished = attempt.outcome.then((outcome): FinishedAttempt => {
        endInFlight();
        ctx.reach.recordOutcome(endpoint, outcome);
        const classification = classifyOutcome(ctx, req, outcome);
        recordHealth(outcome, classification);
        recordAnnouncements(ctx, endpoint, outcome, classification);
        recordRateLimit(ctx, endpoint, outcome, classification);
        recordSuspect(outcome, classification);
        ctx.metrics.recordAttempt(endpoint.service, classification.kind, monotonicNow() - startedAtMs);
        if (classification.kind !== "final" && outcome.kind !== "aborted") {
            ctx.log("info", "attempt-failed", {
                request: req.id,
                endpoint: endpoint.id,
                fingerprint: outcome.kind === "broken" ? req.fingerprint.digest : undefined,
                verdict: classification,
                tookMs: Math.round(monotonicNow() - startedAtMs),
            });
        }
        return { endpointId: endpoint.id, classification, outcome, wasSent: wasSent(outcome) };
    });
    return { endpointId: endpoint.id, finished, abort: attempt.abort };
};
