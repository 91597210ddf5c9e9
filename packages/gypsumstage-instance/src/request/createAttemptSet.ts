import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Placement } from "@gypsumstage/steering/traffic/Placement";
import type { PlacementOption } from "@gypsumstage/steering/traffic/PlacementOption";
import { placeRequest } from "@gypsumstage/steering/traffic/placeRequest";
import type { AttemptSet } from "./AttemptSet.js";
import type { CallerRequest } from "./CallerRequest.js";
import { listPlacementOptions } from "./listPlacementOptions.js";
import type { PlacementTrace } from "./PlacementTrace.js";
import type { RequestContext } from "./RequestContext.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import { startAttempt } from "./startAttempt.js";

const hasFreeSlot = (option: PlacementOption): boolean => option.inFlight < option.slots;

/**
 * Creates the empty set of attempts of one request. Each attempt goes to another endpoint. Endpoints in
 * regions that the shift limiter does not allow at the moment are chosen only if no allowed one can take the
 * request.
 *
 * @param ctx - dependencies that all requests share
 * @param req - the caller's request
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param key - identifies the object, for the choice of candidate endpoints
 * @param deadline - when the answer must be there, on the monotonic clock in milliseconds
 * @returns the set, which starts attempts only when called
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
    const placements: PlacementTrace[] = [];
    let sent = 0;
    let unsent = 0;
    let mayHaveRun = false;
    const addTrace = (placement: Placement, options: readonly PlacementOption[]): void => {
        const option = placement.kind === "placed"
            ? options.find(each => each.id === placement.id)
            : undefined;
        if (placement.kind === "placed" && option !== undefined) {
            placements.push({
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
    const choosePlacement = (options: readonly PlacementOption[]): Placement => {
        const typicalMs = ctx.tracker.typicalMs(service, route.targetLatencyMs);
        const remainingMs = deadline - monotonicNow();
        const allowed = options.filter(option => ctx.regions.allows(option.region));
        const placement = placeRequest(allowed, typicalMs, remainingMs);
        return placement.kind === "placed" ? placement : placeRequest(options, typicalMs, remainingMs);
    };
    const placeAndStart = (options: readonly PlacementOption[]): Placement => {
        const placement = choosePlacement(options);
        addTrace(placement, options);
        const endpoint = placement.kind === "placed" ? ctx.view().endpoints.get(placement.id) : undefined;
        if (endpoint !== undefined) {
            if (tried.size === 0) {
                ctx.metrics.countWait(service, monotonicNow() - req.arrivedAt);
            }
            tried.add(endpoint.id);
            ctx.regions.recordPlacement(endpoint.region);
            running.set(
                endpoint.id,
                startAttempt(ctx, req, endpoint, key, deadline, route.targetLatencyMs),
            );
            sent += 1;
        }
        return placement;
    };
    return {
        startNext: () => placeAndStart(listPlacementOptions(ctx, route, service, key, tried)),
        startHedge: () => {
            const free = listPlacementOptions(ctx, route, service, key, tried).filter(hasFreeSlot);
            return free.length > 0 && ctx.repeats.tryTake(service)
                ? placeAndStart(free)
                : { kind: "no-endpoint" };
        },
        running: () => [...running.values()].map(attempt => attempt.finished),
        recordFinished: attempt => {
            running.delete(attempt.endpointId);
            mayHaveRun ||= attempt.classification.kind === "unknown";
            if (!attempt.wasSent) {
                sent -= 1;
                unsent += 1;
            }
        },
        placements: () => placements,
        abort: () => running.forEach(attempt => attempt.abort()),
        mayHaveRun: () => mayHaveRun || running.size > 0,
        sentCount: () => sent,
        unsentCount: () => unsent,
    };
};
