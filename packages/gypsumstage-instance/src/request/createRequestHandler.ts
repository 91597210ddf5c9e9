import { dropHopByHopHeaders } from "@gypsumstage/shared/dropHopByHopHeaders";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { matchRoute } from "@gypsumstage/steering/traffic/matchRoute";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { InstancePhase } from "../InstancePhase.js";
import type { ReplyLabels } from "../ReplyLabels.js";
import { readWholeBody } from "./readWholeBody.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";
import type { ServedReply } from "./ServedReply.js";
import { serveRequest } from "./serveRequest.js";
import { writeReply } from "./writeReply.js";

const STATUS_NOT_FOUND = 404;
const STATUS_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
const STARTING_RETRY_MS = 500;
const LEAVING_RETRY_MS = 50;
/** Largest body while no configuration is known, in bytes. */
const UNKNOWN_LIMIT_BYTES = 1_048_576;

const UNMATCHED: ReplyLabels = { service: "unknown", kind: "unknown" };

const unmatched = (reply: Reply): ServedReply => ({ reply, labels: UNMATCHED });

const hostOf = (req: IncomingMessage): string => (req.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();

const countHeaderBytes = (req: IncomingMessage): number =>
    req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

/**
 * Creates the handler of callers' requests.
 *
 * @param ctx - what serving needs
 * @param phase - tells whether this instance still takes requests
 * @returns the handler, which never throws
 */
export const createRequestHandler = (
    ctx: RequestContext,
    phase: () => InstancePhase,
): (req: IncomingMessage, res: ServerResponse) => Promise<void> => {
    const serve = (
        req: IncomingMessage,
        body: Buffer | undefined,
        gone: Promise<void>,
        arrivedAt: number,
    ): Promise<ServedReply> | ServedReply => {
        const path = req.url ?? "/";
        const { policy } = ctx.view();
        const route = matchRoute(policy?.routes ?? [], hostOf(req), path);
        if (route === undefined) {
            return unmatched({ kind: "rejected", reason: "no-route", status: STATUS_NOT_FOUND });
        }
        const facts = ctx.dialect.readRequest(req.headers);
        return serveRequest(
            ctx,
            {
                id: facts.requestId,
                objectKey: route.isSticky ? facts.objectKey : undefined,
                callerDeadline: facts.budgetMs === undefined ? undefined : arrivedAt + facts.budgetMs,
                arrivedAt,
                method: req.method ?? "GET",
                path,
                headers: dropHopByHopHeaders(req.headers),
                body,
            },
            route,
            gone,
        );
    };
    const decide = async (
        req: IncomingMessage,
        gone: Promise<void>,
        arrivedAt: number,
    ): Promise<ServedReply> => {
        const limits = ctx.view().policy?.limits;
        const outcome = await readWholeBody(req, limits?.maxBodyBytes ?? UNKNOWN_LIMIT_BYTES);
        if (outcome.kind === "broken-off") {
            return unmatched({ kind: "abandoned" });
        }
        if (outcome.kind === "too-large") {
            return unmatched({ kind: "rejected", reason: "body-too-large", status: STATUS_TOO_LARGE });
        }
        if (limits === undefined || !ctx.view().isComplete) {
            return unmatched({ kind: "refused", reason: "starting", retryAfterMs: STARTING_RETRY_MS });
        }
        if (phase() === "refusing") {
            return unmatched({ kind: "refused", reason: "leaving", retryAfterMs: LEAVING_RETRY_MS });
        }
        if (countHeaderBytes(req) > limits.maxHeaderBytes) {
            return unmatched({
                kind: "rejected",
                reason: "headers-too-large",
                status: STATUS_HEADERS_TOO_LARGE,
            });
        }
        return serve(req, outcome.body, gone, arrivedAt);
    };
    return async (req, res) => {
        const arrivedAt = monotonicNow();
        let isGone = false;
        const gone = new Promise<void>(resolve => {
            res.once("close", () => {
                isGone = true;
                resolve();
            });
        });
        const { reply, labels } = await decide(req, gone, arrivedAt);
        const tookMs = monotonicNow() - arrivedAt;
        ctx.metrics.countReply(reply, labels, tookMs);
        if (reply.kind !== "relayed") {
            const { requestId } = ctx.dialect.readRequest(req.headers);
            ctx.log("info", "request-not-served", {
                request: requestId,
                path: req.url,
                reply,
                tookMs: Math.round(tookMs),
                policyVersion: ctx.view().policy?.version,
            });
        }
        if (!isGone) {
            const isUnread = !req.complete;
            writeReply(res, reply, phase() !== "serving" || isUnread);
        }
    };
};
