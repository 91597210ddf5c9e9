import { describeError } from "@gypsumstage/shared/describeError";
import { findHeadFault } from "@gypsumstage/shared/findHeadFault";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { waitForNextPoll } from "@gypsumstage/shared/waitForNextPoll";
import { matchRoute } from "@gypsumstage/steering/traffic/matchRoute";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { InstancePhase } from "../InstancePhase.js";
import { toRelayHeaders } from "../relay/toRelayHeaders.js";
import type { ReplyLabels } from "../ReplyLabels.js";
import { getRequestedHost } from "./getRequestedHost.js";
import type { LabelledReply } from "./LabelledReply.js";
import { readBody } from "./readBody.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";
import type { RequestHandler } from "./RequestHandler.js";
import { routeRequest } from "./routeRequest.js";
import { serveRequest } from "./serveRequest.js";
import { toBodyRefusal } from "./toBodyRefusal.js";
import { writeReply } from "./writeReply.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_HEADERS_TOO_LARGE = 431;
const STARTING_RETRY_AFTER_MS = 500;
const LEAVING_REPLY: Reply = { kind: "refused", reason: "leaving", retryAfterMs: 50 };
const INTERNAL_ERROR_REPLY: Reply = { kind: "failed", reason: "internal-error", isTimeout: false };
/** Maximum body size while no configuration has been received. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/** Time in which a request that matches no route has to be answered. */
const DEFAULT_TIMEOUT_MS = 10_000;

/** Refusals of which there may be thousands a second in an overload. */
const SUMMARIZED_REASONS: ReadonlySet<string> = new Set(["over-cap", "queue-late", "queue-full"]);

const UNKNOWN_LABELS: ReplyLabels = { service: "unknown", kind: "unknown" };

const withUnknownLabels = (reply: Reply): LabelledReply => ({ reply, labels: UNKNOWN_LABELS });

const countHeaderBytes = (req: IncomingMessage): number =>
    req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

/** Returns whether a refusal is counted in a line that is logged once a second, as the cheapest replies must not cost a line each. */
const isSummarized = (reply: Reply): boolean =>
    reply.kind === "refused" && SUMMARIZED_REASONS.has(reply.reason);

/**
 * Creates the handler of the requests of callers or of other instances: it checks the head, reads the body, checks the
 * request against the limits, finds its route and workspace, serves it and writes the reply. Requests that get no
 * response of an endpoint are logged.
 *
 * @param ctx - provides the view, the header codec, the memory of bodies and responses, the stop schedule, the metrics and
 * the log; also passed on to `routeRequest` and `serveRequest`
 * @param phase - returns the current phase; requests are refused in `refusing`, and connections are closed
 * after the reply in every phase other than `serving`
 * @param sender - who sends the requests; those of instances state what their sender decided
 * @returns the handler; its promise never rejects
 */
export const createRequestHandler = (
    ctx: RequestContext,
    phase: () => InstancePhase,
    sender: "caller" | "instance",
): RequestHandler => {
    const routeAndServe = async (
        req: IncomingMessage,
        body: Buffer | undefined,
        callerDisconnect: Promise<void>,
        arrivedAtMs: number,
    ): Promise<LabelledReply> => {
        const routed = await routeRequest(ctx, req, body, arrivedAtMs, sender);
        return routed.kind === "routed"
            ? serveRequest(ctx, routed.req, routed.route, callerDisconnect)
            : withUnknownLabels(routed);
    };
    /** Returns when the request has to be answered, on the monotonic clock. */
    const findDueAt = (req: IncomingMessage, arrivedAtMs: number): number => {
        const route = matchRoute(ctx.view().policy?.routes ?? [], getRequestedHost(req), req.url ?? "/");
        const timeoutMs = route?.timeoutMs ?? DEFAULT_TIMEOUT_MS;
        const { remainingMs = timeoutMs } = ctx.headerCodec.readRequest(req.headers);
        return arrivedAtMs + Math.min(timeoutMs, remainingMs);
    };
    const findRefusal = (req: IncomingMessage): Reply | undefined => {
        const limits = ctx.view().policy?.limits;
        if (limits === undefined || !ctx.view().isComplete) {
            return { kind: "refused", reason: "starting", retryAfterMs: STARTING_RETRY_AFTER_MS };
        }
        if (phase() === "refusing") {
            return LEAVING_REPLY;
        }
        return countHeaderBytes(req) > limits.maxHeaderBytes
            ? { kind: "rejected", reason: "headers-too-large", status: STATUS_HEADERS_TOO_LARGE }
            : undefined;
    };
    const validateAndServe = async (
        req: IncomingMessage,
        callerDisconnect: Promise<void>,
        stopping: Promise<undefined>,
        arrivedAtMs: number,
    ): Promise<LabelledReply> => {
        const maxBytes = ctx.view().policy?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
        const reading = readBody(req, {
            maxBytes,
            dueAtMs: findDueAt(req, arrivedAtMs),
            memory: ctx.bodyMemory,
            callerDisconnect,
        });
        const outcome = await Promise.race([reading, stopping]);
        if (outcome === undefined) {
            void reading.then(late => late.kind === "read" && late.release());
            return withUnknownLabels(LEAVING_REPLY);
        }
        if (outcome.kind !== "read") {
            return withUnknownLabels(toBodyRefusal(outcome));
        }
        try {
            const refusal = findRefusal(req);
            return refusal === undefined
                ? await routeAndServe(req, outcome.body, callerDisconnect, arrivedAtMs)
                : withUnknownLabels(refusal);
        }
        finally {
            outcome.release();
        }
    };
    const handleRequest: RequestHandler = async (req, res) => {
        const arrivedAtMs = monotonicNow();
        let isDisconnected = false;
        const callerDisconnect = new Promise<void>(resolve => {
            res.once("close", () => {
                isDisconnected = true;
                resolve();
            });
        });
        // After a delay of the event loop, the caller's close may already be there behind its request.
        await waitForNextPoll();
        let unregisterStop = (): void => undefined;
        const stopping = new Promise<undefined>(resolve => {
            unregisterStop = ctx.stopSchedule.registerEndListener(() => resolve(undefined));
        });
        const headFault = findHeadFault(req);
        const findReply = async (): Promise<LabelledReply> => {
            if (isDisconnected) {
                return withUnknownLabels({ kind: "abandoned" });
            }
            return headFault === undefined
                ? validateAndServe(req, callerDisconnect, stopping, arrivedAtMs)
                : withUnknownLabels({ kind: "rejected", reason: headFault, status: STATUS_BAD_REQUEST });
        };
        const { reply, labels } = await findReply().finally(unregisterStop);
        const tookMs = monotonicNow() - arrivedAtMs;
        if (sender === "caller") {
            ctx.metrics.recordReply(reply, labels, tookMs);
        }
        else {
            ctx.metrics.countRelay("received", reply.kind);
        }
        if (reply.kind !== "relayed" && !isSummarized(reply)) {
            const { requestId } = ctx.headerCodec.readRequest(req.headers);
            ctx.log("info", "request-not-served", {
                request: requestId,
                path: req.url,
                caller: req.socket.remoteAddress,
                reply,
                tookMs: Math.round(tookMs),
                policyVersion: ctx.view().policy?.version,
            });
        }
        if (!isDisconnected) {
            const isUnread = !req.complete || headFault !== undefined;
            const isClosing = phase() !== "serving" || isUnread;
            const relayHeaders = sender === "caller" ? {} : toRelayHeaders(reply);
            writeReply(res, reply, ctx.responseMemory, isClosing, relayHeaders);
        }
    };
    /** Whether the request ran is not known after an error, so the reply promises nothing. */
    const replyToError = (req: IncomingMessage, res: ServerResponse, err: unknown): void => {
        ctx.log("error", "request-handler-failed", {
            request: ctx.headerCodec.readRequest(req.headers).requestId,
            path: req.url,
            reason: describeError(err),
        });
        if (res.headersSent) {
            req.socket.resetAndDestroy();
            req.socket.destroy();
        }
        else {
            writeReply(res, INTERNAL_ERROR_REPLY, ctx.responseMemory, true);
        }
    };
    return async (req, res) => {
        try {
            await handleRequest(req, res);
        }
        catch (err) {
            replyToError(req, res, err);
        }
    };
};
