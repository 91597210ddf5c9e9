import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { isSafeKind } from "@gypsumstage/steering/traffic/isSafeKind";
import type { AttemptSet } from "./AttemptSet.js";
import type { FinishedAttempt } from "./FinishedAttempt.js";
import { isStarted } from "./isStarted.js";
import type { Reply } from "./Reply.js";
import type { RetryBudget } from "./RetryBudget.js";
import type { ServeEvent } from "./ServeEvent.js";

/** Minimum time until the deadline for a retry or hedge to be sent. */
const MIN_REMAINING_MS = 20;
/** Number of retries, after attempts that could not be sent, that are not taken from the retry budget. */
const MAX_UNBUDGETED_RETRIES = 3;
const REFUSED_RETRY_AFTER_MS = 200;

const toReply = (attempt: FinishedAttempt): Reply => {
    const { outcome } = attempt;
    if (outcome.kind !== "answered") {
        return { kind: "failed", reason: "no-answer", isTimeout: false };
    }
    const { status, headers, body, isEndStated } = outcome;
    return { kind: "relayed", status, headers, body, isEndStated };
};

/**
 * Creates the handler of the events of one request: it retries the request where that is allowed, and decides
 * the reply. A request that is not safe is retried only if it certainly has not run, and gets the reply
 * `refused` only then. A safe request is also retried when an endpoint responded with an error.
 *
 * @param attempts - the attempts of the request, the first of which has been started
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param deadlineAtMs - when the response is due, on the monotonic clock
 * @param retryBudget - the budget from which retries are taken
 * @returns the handler, which returns the reply, or undefined while the request is still being served
 */
export const createServeEventHandler = (
    attempts: AttemptSet,
    route: Route,
    service: string,
    deadlineAtMs: number,
    retryBudget: RetryBudget,
): (event: ServeEvent) => Promise<Reply | undefined> => {
    /** The last error response of an endpoint; it is the reply if no other attempt succeeds. */
    let errorReply: Reply | undefined;
    const canRetry = (): boolean =>
        attempts.sentCount() < route.maxAttempts
        && deadlineAtMs - monotonicNow() > MIN_REMAINING_MS
        && (isSafeKind(route.kind) || !attempts.mayHaveRun());
    const endWithoutResponse = (reason: string, isTimeout: boolean): Reply => {
        attempts.abort();
        if (errorReply !== undefined) {
            return errorReply;
        }
        return attempts.mayHaveRun()
            ? { kind: "failed", reason, isTimeout }
            : { kind: "refused", reason, retryAfterMs: REFUSED_RETRY_AFTER_MS };
    };
    const retryOrEnd = async (attempt: FinishedAttempt): Promise<Reply | undefined> => {
        const isUnbudgeted = !attempt.wasSent && attempts.unsentCount() <= MAX_UNBUDGETED_RETRIES;
        const isRetried = canRetry()
            && (isUnbudgeted || retryBudget.tryTake(service))
            && isStarted(await attempts.startNext());
        if (isRetried || attempts.running().length > 0) {
            return undefined;
        }
        const { classification } = attempt;
        return endWithoutResponse(
            classification.kind === "final" ? "endpoint-error" : classification.reason,
            false,
        );
    };
    /** Ends the request with what another instance decided, unless an attempt of this one may still succeed. */
    const endWithRelayReply = (reply: Reply): Reply | undefined => {
        if (reply.kind !== "relayed" && attempts.running().length > 0) {
            return undefined;
        }
        if (reply.kind === "refused" && attempts.mayHaveRun()) {
            return endWithoutResponse(reply.reason, false);
        }
        attempts.abort();
        return reply;
    };
    const handleFinished = async (attempt: FinishedAttempt): Promise<Reply | undefined> => {
        attempts.recordFinished(attempt);
        if (attempt.reply !== undefined) {
            return endWithRelayReply(attempt.reply);
        }
        if (attempt.classification.kind !== "final") {
            return retryOrEnd(attempt);
        }
        if (attempt.classification.isError && isSafeKind(route.kind)) {
            errorReply = toReply(attempt);
            return retryOrEnd(attempt);
        }
        attempts.abort();
        return toReply(attempt);
    };
    const startHedge = async (): Promise<void> => {
        if (canRetry()) {
            await attempts.startHedge();
        }
    };
    return async event => {
        switch (event.kind) {
            case "caller-gone":
                attempts.abort();
                return { kind: "abandoned" };
            case "stopping":
                return endWithoutResponse("instance-stopping", false);
            case "deadline":
                return endWithoutResponse("deadline", true);
            case "hedge-due":
                await startHedge();
                return undefined;
            case "finished":
                return handleFinished(event.attempt);
        }
    };
};
