import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { AttemptSet } from "./AttemptSet.js";
import type { FinishedAttempt } from "./FinishedAttempt.js";
import type { RepeatBudget } from "./RepeatBudget.js";
import type { Reply } from "./Reply.js";
import type { ServeEvent } from "./ServeEvent.js";

/** Shortest time left in which sending makes sense, in milliseconds. */
const MIN_BUDGET_MS = 20;
/** Endpoints that may turn out unreachable before second attempts count against the budget. */
const MAX_UNSENT = 3;
const REFUSED_RETRY_MS = 200;

const relay = (attempt: FinishedAttempt): Reply => {
    const { outcome } = attempt;
    return outcome.kind === "answered"
        ? { kind: "relayed", status: outcome.status, headers: outcome.headers, body: outcome.body }
        : { kind: "failed", reason: "no-answer", isTimeout: false };
};

/**
 * Creates the function that takes what happens while a request is served: it repeats the request where that
 * is allowed, and settles the reply. A request that is not safe is sent again only when it certainly has not
 * run, and is refused only then; a safe one also when the endpoint answered that it failed.
 *
 * @param attempts - the request's attempts
 * @param route - its route
 * @param service - the service that runs it
 * @param deadline - when endpoints should stop, on the steady clock in milliseconds
 * @param repeats - the budget of second attempts
 * @returns the function; it returns the reply, or undefined while there is none
 */
export const createReaction = (
    attempts: AttemptSet,
    route: Route,
    service: string,
    deadline: number,
    repeats: RepeatBudget,
): (event: ServeEvent) => Reply | undefined => {
    /** An endpoint's answer that it failed; the caller gets it when no other attempt does better. */
    let failed: Reply | undefined;
    const mayRepeat = (): boolean =>
        attempts.sentCount() < route.maxAttempts
        && deadline - monotonicNow() > MIN_BUDGET_MS
        && (route.kind === "safe" || !attempts.mayHaveRun());
    const giveUp = (reason: string, isTimeout: boolean): Reply => {
        attempts.abort();
        if (failed !== undefined) {
            return failed;
        }
        return attempts.mayHaveRun()
            ? { kind: "failed", reason, isTimeout }
            : { kind: "refused", reason, retryAfterMs: REFUSED_RETRY_MS };
    };
    const repeatOrGiveUp = (attempt: FinishedAttempt): Reply | undefined => {
        const isFree = !attempt.wasSent && attempts.unsentCount() <= MAX_UNSENT;
        const isRepeated = mayRepeat()
            && (isFree || repeats.take(service))
            && attempts.startNext().kind === "placed";
        if (isRepeated || attempts.running().length > 0) {
            return undefined;
        }
        const { verdict } = attempt;
        return giveUp(verdict.kind === "final" ? "endpoint-error" : verdict.reason, false);
    };
    const settle = (attempt: FinishedAttempt): Reply | undefined => {
        attempts.settle(attempt);
        if (attempt.verdict.kind !== "final") {
            return repeatOrGiveUp(attempt);
        }
        if (attempt.verdict.isError && route.kind === "safe") {
            failed = relay(attempt);
            return repeatOrGiveUp(attempt);
        }
        attempts.abort();
        return relay(attempt);
    };
    const startHedge = (): void => {
        if (mayRepeat()) {
            attempts.startHedge();
        }
    };
    return event => {
        switch (event.kind) {
            case "caller-gone":
                attempts.abort();
                return { kind: "abandoned" };
            case "deadline":
                return giveUp("deadline", true);
            case "hedge-due":
                startHedge();
                return undefined;
            case "finished":
                return settle(event.attempt);
        }
    };
};
