import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { holdBackPlacement } from "@gypsumstage/steering/traffic/holdBackPlacement";
import type { Placement } from "@gypsumstage/steering/traffic/Placement";
import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import { startsAtOnce } from "@gypsumstage/steering/traffic/startsAtOnce";
import { toAdmissionRequest } from "../admission/toAdmissionRequest.js";
import type { AttemptSet } from "./AttemptSet.js";
import type { AttemptStart } from "./AttemptStart.js";
import type { CallerRequest } from "./CallerRequest.js";
import { chooseAllowedPlacement } from "./chooseAllowedPlacement.js";
import { createPlacementTrace } from "./createPlacementTrace.js";
import { createRoomCheck } from "./createRoomCheck.js";
import { explainNoEndpoint } from "./explainNoEndpoint.js";
import { isStarted } from "./isStarted.js";
import { listPlacementCandidates } from "./listPlacementCandidates.js";
import type { PlacementTrace } from "./PlacementTrace.js";
import type { RequestContext } from "./RequestContext.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import { startAttempt } from "./startAttempt.js";

/** Permits that one attempt may wait for: one for each of its few candidate endpoints. */
const MAX_PERMITS = 3;

/**
 * Creates the empty set of attempts of one request. Each attempt goes to another endpoint. Endpoints in
 * regions that the shift limiter does not allow at the moment are chosen only if no allowed one can take the
 * request, and further candidates there not at all. At a service with admission, the first attempt is held back while the
 * chosen endpoint has too many requests in flight. An attempt needs a permit of the workspace's usage cap, and one of the
 * endpoint if that is rate-limited; while the latter is denied, other endpoints get the request. Nothing is sent once the
 * key of the request is not accepted any more, or while endpoints ended with the request in flight. While this instance
 * is cut off from the service, another instance that reaches it gets the request; it takes the permits itself.
 *
 * @param ctx - provides the view, the state of endpoints, the permits, the usage caps, the trust in keys, the suspect
 * requests, the admission, the relays, the shift limiter and the retry budget; its metrics are updated
 * @param req - the caller's request
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param key - identifies the object, for the choice of candidate endpoints
 * @param deadlineAtMs - when the response is due, on the monotonic clock
 * @returns the set, in which no attempt has been started
 */
export const createAttemptSet = (
    ctx: RequestContext,
    req: CallerRequest,
    route: Route,
    service: string,
    key: string,
    deadlineAtMs: number,
): AttemptSet => {
    const tried = new Set<string>();
    const triedRelays = new Set<string>();
    const refunds = new Map<string, () => void>();
    const running = new Map<string, RunningAttempt>();
    const placements: PlacementTrace[] = [];
    const admissionRequest = toAdmissionRequest(req, route, deadlineAtMs);
    let sent = 0;
    let unsent = 0;
    let mayHaveRun = false;
    let isAborted = false;
    const listCandidates = (): readonly PlacementCandidate[] =>
        listPlacementCandidates(ctx, route, service, key, req.objectKey !== undefined, tried);
    const addTrace = (placement: Placement, candidates: readonly PlacementCandidate[]): void => {
        const candidate = placement.kind === "placed"
            ? candidates.find(each => each.id === placement.id)
            : undefined;
        if (placement.kind === "placed" && candidate !== undefined) {
            placements.push(createPlacementTrace(candidate, placement.expectedMs, req.arrivedAtMs));
            if ("isFurther" in candidate) {
                ctx.metrics.countPlacement(service, candidate.isFurther ? "further" : "usual");
            }
        }
    };
    const chooseAllowed = (candidates: readonly PlacementCandidate[]): Placement =>
        chooseAllowedPlacement(ctx, route, service, candidates, deadlineAtMs);
    const chooseFirst = (candidates: readonly PlacementCandidate[]): Placement =>
        holdBackPlacement(
            chooseAllowed(candidates),
            candidates,
            ctx.admission.endpointQueueLimit(service, admissionRequest),
        );
    const roomCheck = createRoomCheck(ctx, chooseFirst);
    const isKeyRefused = (): boolean => ctx.keys.findRefusal(req) !== undefined;
    /** Sends the request and returns true, unless the endpoint wants none any more or the key is not accepted any more. */
    const start = (placement: Placement, candidates: readonly PlacementCandidate[]): boolean => {
        const endpoint = placement.kind === "placed" ? ctx.view().endpoints.get(placement.id) : undefined;
        const health = endpoint === undefined ? undefined : ctx.tracker.health(endpoint.id);
        const hasLeft = endpoint?.isDraining || health?.isLeaving;
        if (
            endpoint === undefined || health === undefined || hasLeft || health.pausedUntilMs > monotonicNow()
            || isKeyRefused()
        ) {
            return false;
        }
        addTrace(placement, candidates);
        if (tried.size === 0) {
            ctx.metrics.recordWait(service, monotonicNow() - req.arrivedAtMs);
        }
        tried.add(endpoint.id);
        ctx.regionShiftLimiter.recordPlacement(endpoint.region);
        const attempt = startAttempt(ctx, req, endpoint, key, deadlineAtMs, route.targetLatencyMs);
        running.set(endpoint.id, attempt);
        void attempt.finished.then(() => ctx.admission.wake(service));
        sent += 1;
        return true;
    };
    const takePermit = async (placement: Placement): Promise<boolean> => {
        const endpoint = placement.kind === "placed" ? ctx.view().endpoints.get(placement.id) : undefined;
        return endpoint === undefined || ctx.permits.take(endpoint);
    };
    /** Passes the request on to another instance, if one reaches the service and `isAllowed` returns true. */
    const startRelay = (isAllowed: () => boolean): AttemptStart | undefined => {
        const attemptsLeft = route.maxAttempts - sent;
        const relay = req.relayed === undefined && attemptsLeft > 0
            ? ctx.relays.choose(route, service, triedRelays)
            : undefined;
        if (relay === undefined || isKeyRefused() || !isAllowed()) {
            return undefined;
        }
        triedRelays.add(relay.name);
        const attempt = ctx.relays.start(req, service, relay, attemptsLeft, deadlineAtMs);
        running.set(attempt.endpointId, attempt);
        sent += 1;
        return { kind: "relayed", instance: relay.name };
    };
    /** Starts an attempt with a permit of the workspace, which is returned if nothing is sent. */
    const startWithinCap = async (startPermitted: () => Promise<AttemptStart>): Promise<AttemptStart> => {
        const taken = ctx.usageCaps.take(req.workspace);
        const decision = taken instanceof Promise ? await taken : taken;
        if (decision.kind === "exceeded") {
            return { kind: "over-cap", retryAfterMs: decision.retryAfterMs };
        }
        const started = isAborted ? { kind: "abandoned" } as const : await startPermitted();
        if (started.kind === "placed") {
            refunds.set(started.id, decision.refund);
        }
        else {
            decision.refund();
        }
        return started;
    };
    const startNextPlaced = async (): Promise<AttemptStart> => {
        for (let permits = 0; permits < MAX_PERMITS; permits++) {
            const candidates = listCandidates();
            const placement = tried.size === 0 ? chooseFirst(candidates) : chooseAllowed(candidates);
            if (placement.kind !== "placed") {
                roomCheck.record(candidates);
                return placement.kind === "no-endpoint" ? explainNoEndpoint(ctx, service, tried) : placement;
            }
            const isPermitted = await takePermit(placement);
            if (isAborted) {
                return { kind: "abandoned" };
            }
            if (isPermitted && start(placement, candidates)) {
                return placement;
            }
        }
        return explainNoEndpoint(ctx, service, tried);
    };
    const startAnywhere = async (): Promise<AttemptStart> => {
        const verdict = ctx.suspects.judge(req.fingerprint, tried.size > 0);
        if (verdict.kind === "refused") {
            return { kind: "ends-endpoints", retryAfterMs: verdict.retryAfterMs };
        }
        if (ctx.reach.isCut(service)) {
            const relayed = startRelay(() => true);
            // While no instance can open connections, those that are open may still serve.
            return relayed
                ?? (ctx.reach.hasContact(service)
                    ? startWithinCap(startNextPlaced)
                    : { kind: "no-endpoint" });
        }
        const start = await startWithinCap(startNextPlaced);
        // Endpoints that were cut off get requests again only after a health check.
        const isRelayed = start.kind === "no-endpoint" && ctx.reach.wasCutLately(service);
        return isRelayed ? startRelay(() => true) ?? start : start;
    };
    const startNext = async (): Promise<AttemptStart> => {
        const next = await startAnywhere();
        const reply = isStarted(next) ? undefined : ctx.keys.findRefusal(req);
        return reply === undefined ? next : { kind: "key-refused", reply };
    };
    const needsNoPermit = (candidate: PlacementCandidate): boolean => {
        const endpoint = ctx.view().endpoints.get(candidate.id);
        return endpoint !== undefined && !ctx.permits.isNeeded(endpoint);
    };
    const listFree = (): ReturnType<typeof listCandidates> =>
        ctx.suspects.isSuspect(req.fingerprint)
            ? []
            : listCandidates().filter(startsAtOnce).filter(needsNoPermit);
    const startFree = (): Promise<AttemptStart> => {
        const free = listFree();
        const placement = free.length > 0 && ctx.retryBudget.tryTake(service)
            ? chooseAllowed(free)
            : undefined;
        const isStarted = placement?.kind === "placed" && start(placement, free);
        return Promise.resolve(isStarted ? placement : { kind: "no-endpoint" });
    };
    return {
        startNext,
        mayHaveRoom: roomCheck.mayHaveRoom,
        startHedge: async () => {
            if (ctx.reach.isCut(service)) {
                startRelay(() =>
                    !ctx.suspects.isSuspect(req.fingerprint) && ctx.retryBudget.tryTake(service)
                );
                return;
            }
            if (listFree().length > 0) {
                await startWithinCap(startFree);
            }
        },
        running: () => [...running.values()].map(attempt => attempt.finished),
        recordFinished: attempt => {
            running.delete(attempt.endpointId);
            mayHaveRun ||= attempt.classification.kind === "unknown";
            if (!attempt.wasSent) {
                refunds.get(attempt.endpointId)?.();
                sent -= 1;
                unsent += 1;
            }
        },
        placements: () => placements,
        abort: () => {
            isAborted = true;
            running.forEach(attempt => attempt.abort());
        },
        mayHaveRun: () => mayHaveRun || running.size > 0,
        sentCount: () => sent,
        unsentCount: () => unsent,
    };
};
