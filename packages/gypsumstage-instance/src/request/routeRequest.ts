import type { Route } from "@gypsumstage/domain/traffic/Route";
import { computeKeyDigest } from "@gypsumstage/shared/computeKeyDigest";
import { dropHopByHopHeaders } from "@gypsumstage/shared/dropHopByHopHeaders";
import { applyWorkspace } from "@gypsumstage/steering/traffic/applyWorkspace";
import { authenticateRequest } from "@gypsumstage/steering/traffic/authenticateRequest";
import { matchRoute } from "@gypsumstage/steering/traffic/matchRoute";
import type { IncomingMessage } from "node:http";
import { readRelayedRequest } from "../relay/readRelayedRequest.js";
import { RELAY_HEADERS } from "../relay/RELAY_HEADERS.js";
import type { RelayedRequest } from "../relay/RelayedRequest.js";
import type { UpstreamRequest } from "../upstream/UpstreamRequest.js";
import { createRequestFingerprint } from "./createRequestFingerprint.js";
import { findWorkspaces } from "./findWorkspaces.js";
import { getRequestedHost } from "./getRequestedHost.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";
import type { RoutedRequest } from "./RoutedRequest.js";

const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const RELAY_REFUSED_RETRY_AFTER_MS = 200;
/** Only another configuration can end it. */
const NO_REGION_RETRY_AFTER_MS = 1_000;
const RELAY_HEADER_NAMES: ReadonlySet<string> = new Set(Object.values(RELAY_HEADERS));

const dropRelayHeaders = (headers: UpstreamRequest["headers"]): UpstreamRequest["headers"] =>
    Object.fromEntries(Object.entries(headers).filter(([name]) => !RELAY_HEADER_NAMES.has(name)));

const findRelayRefusal = (relayed: RelayedRequest | undefined, policyVersion: number): string | undefined => {
    if (relayed === undefined) {
        return "relay-malformed";
    }
    return policyVersion < relayed.policyVersion ? "policy-behind" : undefined;
};

/** Returns the route with no more attempts than the instance that passed the request on has left. */
const limitAttempts = (route: Route, relayed: RelayedRequest | undefined): Route =>
    relayed === undefined
        ? route
        : { ...route, maxAttempts: Math.min(route.maxAttempts, relayed.attemptsLeft) };

/**
 * Finds the route of a request and the workspace for which it runs.
 *
 * @param ctx - provides the view and the header codec
 * @param req - the request
 * @param body - its complete body; undefined when it has none
 * @param arrivedAtMs - when it arrived, on the monotonic clock
 * @param sender - who sends it; instances state what they decided
 * @returns the request as it is to be served, or the reply to one that may not be served
 */
export const routeRequest = (
    ctx: Pick<RequestContext, "view" | "headerCodec">,
    req: IncomingMessage,
    body: Buffer | undefined,
    arrivedAtMs: number,
    sender: "caller" | "instance",
): RoutedRequest | Reply => {
    const path = req.url ?? "/";
    const { policy } = ctx.view();
    const relayed = sender === "instance" ? readRelayedRequest(req.headers) : undefined;
    const refusal = sender === "instance" ? findRelayRefusal(relayed, policy?.version ?? 0) : undefined;
    if (refusal !== undefined) {
        return { kind: "refused", reason: refusal, retryAfterMs: RELAY_REFUSED_RETRY_AFTER_MS };
    }
    const matched = matchRoute(policy?.routes ?? [], getRequestedHost(req), path);
    if (policy === undefined || matched === undefined) {
        return { kind: "rejected", reason: "no-route", status: STATUS_NOT_FOUND };
    }
    const metadata = ctx.headerCodec.readRequest(req.headers);
    const ownDigest = metadata.key === undefined ? undefined : computeKeyDigest(metadata.key);
    const keyDigest = sender === "instance" ? relayed?.keyDigest : ownDigest;
    const authentication = authenticateRequest(matched, findWorkspaces(policy), keyDigest);
    if (authentication.kind === "unknown-key") {
        return { kind: "rejected", reason: "unknown-key", status: STATUS_UNAUTHORIZED };
    }
    const workspace = authentication.kind === "workspace" ? authentication.workspace : undefined;
    const route = workspace === undefined ? matched : applyWorkspace(matched, workspace);
    if (route === undefined) {
        return { kind: "refused", reason: "no-region", retryAfterMs: NO_REGION_RETRY_AFTER_MS };
    }
    const headers = dropRelayHeaders(dropHopByHopHeaders(req.headers));
    const upstreamRequest: UpstreamRequest = {
        method: req.method ?? "GET",
        path,
        headers: ctx.headerCodec.replaceCredentials(headers, workspace?.name),
        body,
    };
    return {
        kind: "routed",
        route: limitAttempts(route, relayed),
        req: {
            ...upstreamRequest,
            fingerprint: createRequestFingerprint(upstreamRequest),
            id: metadata.requestId,
            objectKey: route.isSticky ? metadata.objectKey : undefined,
            callerDeadlineAtMs: metadata.remainingMs === undefined
                ? undefined
                : arrivedAtMs + metadata.remainingMs,
            arrivedAtMs,
            keyDigest,
            workspace,
            relayed,
        },
    };
};
