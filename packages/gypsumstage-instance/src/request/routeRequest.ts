import type { Route } from "@gypsumstage/domain/traffic/Route";
import { computeKeyDigest } from "@gypsumstage/shared/computeKeyDigest";
import { dropHopByHopHeaders } from "@gypsumstage/shared/dropHopByHopHeaders";
import { applyWorkspace } from "@gypsumstage/steering/traffic/applyWorkspace";
import { matchRoute } from "@gypsumstage/steering/traffic/matchRoute";
import type { IncomingMessage } from "node:http";
import { UNKNOWN_KEY_REPLY } from "../keys/UNKNOWN_KEY_REPLY.js";
import { readRelayedRequest } from "../relay/readRelayedRequest.js";
import { RELAY_HEADERS } from "../relay/RELAY_HEADERS.js";
import type { RelayedRequest } from "../relay/RelayedRequest.js";
import type { UpstreamRequest } from "../upstream/UpstreamRequest.js";
import { createRequestFingerprint } from "./createRequestFingerprint.js";
import { getRequestedHost } from "./getRequestedHost.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";
import type { RoutedRequest } from "./RoutedRequest.js";

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

type RoutingContext = Pick<RequestContext, "view" | "headerCodec" | "keys">;

/** Routes a request by the present copy of the configuration; `unconfirmed` when that is not known to be recent enough. */
const routeByCopy = (
    ctx: RoutingContext,
    req: IncomingMessage,
    body: Buffer | undefined,
    arrivedAtMs: number,
    sender: "caller" | "instance",
): RoutedRequest | Reply | { readonly kind: "unconfirmed"; } => {
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
    const authentication = ctx.keys.judge(matched, keyDigest, arrivedAtMs);
    if (authentication.kind === "unconfirmed") {
        return authentication;
    }
    if (authentication.kind === "unknown-key") {
        return UNKNOWN_KEY_REPLY;
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

/**
 * Finds the route of a request and the workspace for which it runs. Waits a short time for a confirmation of the configuration
 * if its key cannot be judged without one.
 *
 * @param ctx - provides the view, the header codec and the trust in keys
 * @param req - the request
 * @param body - its complete body; undefined when it has none
 * @param arrivedAtMs - when it arrived, on the monotonic clock
 * @param sender - who sends it; instances state what they decided
 * @returns the request as it is to be served, or the reply to one that may not be served
 */
export const routeRequest = async (
    ctx: RoutingContext,
    req: IncomingMessage,
    body: Buffer | undefined,
    arrivedAtMs: number,
    sender: "caller" | "instance",
): Promise<RoutedRequest | Reply> => {
    const routed = routeByCopy(ctx, req, body, arrivedAtMs, sender);
    if (routed.kind !== "unconfirmed") {
        return routed;
    }
    await ctx.keys.confirm();
    const confirmed = routeByCopy(ctx, req, body, arrivedAtMs, sender);
    return confirmed.kind === "unconfirmed" ? ctx.keys.unconfirmedReply : confirmed;
};
