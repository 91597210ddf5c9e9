import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { HeaderCodec } from "../HeaderCodec.js";
import type { ReachMonitor } from "../reach/ReachMonitor.js";
import { recordEndIfReached } from "../suspects/recordEndIfReached.js";
import type { SuspectRequests } from "../suspects/SuspectRequests.js";
import type { EndpointTracker } from "./EndpointTracker.js";
import type { LeavingEndpoints } from "./LeavingEndpoints.js";
import type { UpstreamPool } from "./UpstreamPool.js";

const CHECK_INTERVAL_MS = 100;
const CHECK_TIMEOUT_MS = 600;

/**
 * Checks unreachable endpoints before they receive requests again. A check shows whether the endpoint is reachable
 * and healthy, whether another endpoint has taken its address, and how long it stays cold. Endpoints without a
 * failure are never checked.
 *
 * @param view - returns the current fleet view
 * @param tracker - provides the endpoints' health and records the results
 * @param suspects - is told which endpoints have ended and which still run
 * @param departures - is told which endpoints say that they are leaving
 * @param reach - tells which services this instance is cut off from; their endpoints are not checked
 * @param pool - connections to endpoints
 * @param headerCodec - reads the responses
 * @param log - receives endpoints that recovered or were replaced
 * @returns the function that stops the checks
 */
export const registerHealthChecks = (
    view: () => FleetView,
    tracker: EndpointTracker,
    suspects: Pick<SuspectRequests, "recordEnd" | "recordAlive">,
    departures: Pick<LeavingEndpoints, "observe">,
    reach: Pick<ReachMonitor, "isCut" | "check">,
    pool: UpstreamPool,
    headerCodec: HeaderCodec,
    log: Log,
): () => void => {
    const check = async (endpoint: UpstreamEndpoint): Promise<void> => {
        const servicePolicy = view().policy?.services.find(service => service.name === endpoint.service);
        const path = servicePolicy?.healthPath ?? "/";
        const req = { method: "GET", path, headers: { host: endpoint.address }, body: undefined };
        const attempt = pool.send(endpoint.address, req);
        const outcome = await Promise.race([attempt.outcome, sleep(CHECK_TIMEOUT_MS)]);
        const nowMs = monotonicNow();
        if (outcome === undefined || outcome.kind !== "answered") {
            attempt.abort();
            if (outcome?.kind === "not-sent" && outcome.isPortClosed) {
                void recordEndIfReached(reach, suspects, endpoint);
            }
            tracker.recordHealthEvent(endpoint.id, { kind: "check-failed", nowMs });
            return;
        }
        const checkResult = headerCodec.readHealthCheck(outcome.status, outcome.headers);
        if (checkResult.endpointId !== undefined && checkResult.endpointId !== endpoint.id) {
            tracker.recordHealthEvent(endpoint.id, { kind: "leaving", nowMs });
            suspects.recordEnd(endpoint);
            log("info", "endpoint-replaced", { endpoint: endpoint.id, by: checkResult.endpointId });
            return;
        }
        suspects.recordAlive(endpoint);
        if (headerCodec.readLeaving(outcome.headers)) {
            departures.observe(endpoint);
        }
        const pauseMs = headerCodec.readPauseMs(outcome.status, outcome.headers);
        if (pauseMs !== undefined) {
            tracker.recordHealthEvent(endpoint.id, { kind: "paused", untilMs: nowMs + pauseMs });
        }
        if (!checkResult.isHealthy) {
            tracker.recordHealthEvent(endpoint.id, { kind: "check-failed", nowMs });
            return;
        }
        tracker.recordHealthEvent(endpoint.id, { kind: "checked", nowMs, coldMs: checkResult.coldMs });
        log("info", "endpoint-regained", { endpoint: endpoint.id, coldMs: checkResult.coldMs });
    };
    const checkDue = async (): Promise<void> => {
        const nowMs = monotonicNow();
        const due = [...view().endpoints.values()].filter(endpoint => {
            const health = tracker.health(endpoint.id);
            return health.needsHealthCheck && !health.isLeaving && !endpoint.isDraining
                && Math.max(health.backoffUntilMs, health.pausedUntilMs) <= nowMs
                && !reach.isCut(endpoint.service);
        });
        await Promise.all(due.map(check));
    };
    return startPeriodicTask(checkDue, () => CHECK_INTERVAL_MS, err => {
        log("error", "endpoint-check-failed", { reason: String(err) });
    });
};
