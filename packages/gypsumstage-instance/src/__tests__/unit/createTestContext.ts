import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { EMPTY_FLEET_VIEW } from "@gypsumstage/steering/traffic/EMPTY_FLEET_VIEW";
import { createStopSchedule } from "../../createStopSchedule.js";
import type { CallerRequest } from "../../request/CallerRequest.js";
import { createRequestFingerprint } from "../../request/createRequestFingerprint.js";
import type { RequestContext } from "../../request/RequestContext.js";
import { createSuspectRequests } from "../../suspects/createSuspectRequests.js";
import type { AttemptOutcome } from "../../upstream/AttemptOutcome.js";
import { createEndpointRateLimits } from "../../upstream/createEndpointRateLimits.js";
import { createEndpointTracker } from "../../upstream/createEndpointTracker.js";
import { createLeavingEndpoints } from "../../upstream/createLeavingEndpoints.js";

const NEVER = new Promise<never>(() => undefined);

/** A context for the attempts of a request, and what the test changes and sees of it. */
interface TestContext {
    readonly ctx: RequestContext;
    readonly route: Route;
    readonly req: CallerRequest;
    /** Addresses to which requests were sent. */
    readonly sentTo: readonly string[];
    readonly setEndpoints: (endpoints: readonly UpstreamEndpoint[]) => void;
    /** Sets the outcome of all further attempts; by default they never finish. */
    readonly setOutcome: (outcome: AttemptOutcome) => void;
}

/**
 * Creates the context of a safe request for service `desk`, without network.
 *
 * @param permits - the permits for rate-limited endpoints
 * @returns the context, without endpoints
 */
export const createTestContext = (permits: RequestContext["permits"]): TestContext => {
    let endpoints: readonly UpstreamEndpoint[] = [];
    let outcome: Promise<AttemptOutcome> = NEVER;
    const sentTo: string[] = [];
    const view = (): typeof EMPTY_FLEET_VIEW => ({
        ...EMPTY_FLEET_VIEW,
        endpoints: new Map(endpoints.map(endpoint => [endpoint.id, endpoint])),
        endpointsByService: new Map([["desk", endpoints]]),
    });
    const log = (): void => undefined;
    const upstreamRequest = { method: "GET", path: "/check/1", headers: { host: "desk" }, body: undefined };
    const tracker = createEndpointTracker();
    const ctx = {
        region: "kutch",
        headerCodec: {
            upstreamHeaders: () => ({}),
            readResponse: (status: number) => ({
                status,
                requestMatch: "this",
                isStamped: true,
                isDeclaredNotRun: status !== 200,
                isAddressReassigned: false,
                isEncoded: false,
            }),
            readLoad: () => undefined,
            readLeaving: (headers: Readonly<Record<string, string>>) => headers["leaving"] !== undefined,
            readPauseMs: (...[, headers]: readonly [number, Readonly<Record<string, string>>]) =>
                headers["pause"] === undefined ? undefined : Number(headers["pause"]),
            readRateLimit: (headers: Readonly<Record<string, string>>) =>
                headers["limit"] === undefined ? undefined : Number(headers["limit"]),
        },
        view,
        tracker,
        pool: {
            send: (address: string) => {
                sentTo.push(address);
                return { outcome, abort: () => undefined };
            },
        },
        keys: { findRefusal: () => undefined },
        peers: { inFlight: () => 0 },
        reach: {
            isCut: () => false,
            wasCutLately: () => false,
            hasContact: () => false,
            recordOutcome: () => undefined,
            check: () => Promise.resolve(true),
        },
        relays: { choose: () => undefined },
        coldRateLimiter: { isAvailable: () => true, take: () => undefined },
        departures: createLeavingEndpoints(id => view().endpoints.get(id), tracker, log),
        rateLimits: createEndpointRateLimits(id => view().endpoints.get(id), log),
        permits,
        usageCaps: { take: () => ({ kind: "granted", refund: () => undefined }) },
        suspects: createSuspectRequests(() => false, log),
        admission: { isEnabled: () => false, endpointQueueLimit: () => undefined, wake: () => undefined },
        retryBudget: { tryTake: () => true },
        choosesByStatedLoad: () => false,
        localPrimaryShare: () => 1,
        regionShiftLimiter: { allows: () => true, recordPlacement: () => undefined },
        stopSchedule: createStopSchedule(),
        metrics: {
            recordWait: () => undefined,
            recordAttempt: () => undefined,
            countRateLimitedAttempt: () => undefined,
        },
        log,
    } as unknown as RequestContext;
    return {
        ctx,
        route: {
            timeoutMs: 2_000,
            targetLatencyMs: 500,
            kind: "safe",
            permittedRegions: [],
        } as unknown as Route,
        req: {
            ...upstreamRequest,
            id: "a-1",
            objectKey: "17",
            callerDeadlineAtMs: undefined,
            arrivedAtMs: 0,
            keyDigest: undefined,
            workspace: undefined,
            relayed: undefined,
            fingerprint: createRequestFingerprint(upstreamRequest),
        },
        sentTo,
        setEndpoints: next => {
            endpoints = next;
        },
        setOutcome: next => {
            outcome = Promise.resolve(next);
        },
    };
};
