import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Placement } from "@gypsumstage/steering/traffic/Placement";
import type { PlacementOption } from "@gypsumstage/steering/traffic/PlacementOption";
import { placeRequest } from "@gypsumstage/steering/traffic/placeRequest";
import type { AttemptSet } from "./AttemptSet.js";
import type { CallerRequest } from "./CallerRequest.js";
import { listOptions } from "./listOptions.js";
import type { PlacementTrace } from "./PlacementTrace.js";
import type { RequestContext } from "./RequestContext.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import { startAttempt } from "./startAttempt.js";

const hasFreeSlot = (option: PlacementOption): boolean => option.inFlight < option.slots;

/**
 * Creates the set of attempts of one request.
 *
 * @param ctx - what serving needs
 * @param req - the request
 * @param route - its route
 * @param service - the service that runs it
 * @param key - the object that it concerns
 * @param deadline - when endpoints should stop, on the steady clock in milliseconds
 * @returns the set, empty
 */
export const createAttemptSet = (
    ctx: RequestContext,
    req: CallerRequest,
    route: Route,
    service: string,
    key: string,
    deadline: number,
): AttemptSet => {
    const tried = new Set<string>();
    const running = new Map<string, RunningAttempt>();
    const history: PlacementTrace[] = [];
    let sent = 0;
    let unsent = 0;
    let mayHaveRun = false;
    const trace = (placement: Placement, options: readonly PlacementOption[]): void => {
        const option = placement.kind === "placed"
            ? options.find(each => each.id === placement.id)
            : undefined;
        if (placement.kind === "placed" && option !== undefined) {
            history.push({
                endpoint: option.id,
                afterMs: Math.round(monotonicNow() - req.arrivedAt),
                expectedMs: Math.round(placement.expectedMs),
                inFlight: option.inFlight,
                slots: option.slots,
                isWarm: option.isWarm,
                slowness: Number(option.slowness.toFixed(2)),
            });
        }
    };
    const place = (options: readonly PlacementOption[]): Placement => {
        const workMs = ctx.tracker.typicalMs(service, route.targetLatencyMs);
        const remainingMs = deadline - monotonicNow();
        const paced = options.filter(option => ctx.regions.isOpen(option.region));
        const placement = placeRequest(paced, workMs, remainingMs);
        return placement.kind === "placed" ? placement : placeRequest(options, workMs, remainingMs);
    };
    const start = (options: readonly PlacementOption[]): Placement => {
        const placement = place(options);
        trace(placement, options);
        const endpoint = placement.kind === "placed" ? ctx.view().endpoints.get(placement.id) : undefined;
        if (endpoint !== undefined) {
            if (tried.size === 0) {
                ctx.metrics.countWait(service, monotonicNow() - req.arrivedAt);
            }
            tried.add(endpoint.id);
            ctx.regions.count(endpoint.region);
            running.set(
                endpoint.id,
                startAttempt(ctx, req, endpoint, key, deadline, route.targetLatencyMs),
            );
            sent += 1;
        }
        return placement;
    };
    return {
        startNext: () => start(listOptions(ctx, route, service, key, tried)),
        startHedge: () => {
            const free = listOptions(ctx, route, service, key, tried).filter(hasFreeSlot);
            return free.length > 0 && ctx.repeats.take(service) ? start(free) : { kind: "no-endpoint" };
        },
        running: () => [...running.values()].map(attempt => attempt.finished),
        settle: attempt => {
            running.delete(attempt.endpointId);
            mayHaveRun ||= attempt.verdict.kind === "unknown";
            if (!attempt.wasSent) {
                sent -= 1;
                unsent += 1;
            }
        },
        history: () => history,
        abort: () => running.forEach(attempt => attempt.abort()),
        mayHaveRun: () => mayHaveRun || running.size > 0,
        sentCount: () => sent,
        unsentCount: () => unsent,
    };
};
