import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Result } from "@gypsumstage/shared/Result";
import { context as traceContext, propagation, SpanKind, trace } from "@opentelemetry/api";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EntryContext } from "./EntryContext.js";
import type { AcquireBytes } from "./read/AcquireBytes.js";
import type { Exchange } from "./read/Exchange.js";
import { readExchange } from "./read/readExchange.js";
import { createProblemReply } from "./reply/createProblemReply.js";
import type { EntryReply } from "./reply/EntryReply.js";
import { writeReply } from "./reply/writeReply.js";
import type { RequestHandler } from "./RequestHandler.js";
import { serveRequest } from "./serveRequest.js";

const MS_PER_SECOND = 1_000;

const createCancellation = (req: IncomingMessage, res: ServerResponse): {
    readonly signal: AbortSignal;
    readonly setDeadline: (remainingMs: number, mayCancel: boolean) => void;
    readonly clearDeadline: () => void;
    readonly cancel: () => void;
} => {
    const controller = new AbortController();
    let timer: NodeJS.Timeout | undefined;
    let isCancellable = true;
    const onClose = (): void => {
        // Work that must run once continues after the caller disconnects, unless the request body is incomplete.
        if (!res.writableFinished && (isCancellable || !req.complete)) {
            controller.abort(new Error("the caller has left"));
        }
    };
    res.on("close", onClose);
    return {
        signal: controller.signal,
        setDeadline: (remainingMs, mayCancel) => {
            isCancellable = mayCancel;
            timer = setTimeout(() => controller.abort(new Error("the deadline has passed")), remainingMs);
        },
        clearDeadline: () => clearTimeout(timer),
        cancel: () => controller.abort(new Error("the request failed")),
    };
};

/**
 * Creates the handler for requests of callers, or for requests forwarded by other entries.
 *
 * @param context - the modules of the entry process that serve requests
 * @param isPeer - whether the requests come from other entries
 * @returns the handler
 */
export const createRequestHandler =
    (context: EntryContext, isPeer: boolean): RequestHandler => async (req, res) => {
        const nowMs = monotonicNow();
        const cancellation = createCancellation(req, res);
        const parent = propagation.extract(traceContext.active(), req.headers);
        const span = context.tracer.startSpan(
            isPeer ? "entry forwarded" : "entry",
            { kind: SpanKind.SERVER },
            parent,
        );
        const spanContext = trace.setSpan(parent, span);
        const received = { req, signal: cancellation.signal, nowMs, isPeer, trace: spanContext };
        const exchange = readExchange(context, received);
        let reply: EntryReply;
        if (exchange.ok) {
            cancellation.setDeadline(exchange.value.deadlineAtMs - nowMs, exchange.value.cls.isIdempotent);
            reply = await serveRequest(context, exchange.value).catch((err: unknown) => {
                context.log("error", "request-failed", { reason: describeError(err) });
                // Cancels attempts that are still running, so that they release their slots.
                cancellation.cancel();
                return createProblemReply("internal-error", "unknown", describeError(err));
            });
        }
        else {
            reply = exchange.error;
        }
        const headers: Record<string, string> = {};
        propagation.inject(spanContext, headers);
        if (context.isLeaving() && !isPeer) {
            headers["connection"] = "close";
        }
        const isComplete = await writeReply({
            res,
            headers,
            acquireBytes: createAcquireBytes(context, exchange, cancellation.signal),
        }, reply);
        cancellation.clearDeadline();
        const cls = exchange.ok ? exchange.value.cls.name : "none";
        const outcome = reply.kind === "problem" ? reply.problem.outcome : isComplete ? "served" : "cut";
        context.metrics.requests.inc({ class: cls, outcome });
        context.metrics.latency.observe({ class: cls }, (monotonicNow() - nowMs) / MS_PER_SECOND);
        span.setAttributes({ "gypsumstage.class": cls, "gypsumstage.outcome": outcome });
        span.end();
    };

const createAcquireBytes = (
    context: EntryContext,
    exchange: Result<Exchange, EntryReply>,
    signal: AbortSignal,
): AcquireBytes | undefined => {
    if (!exchange.ok || exchange.value.source.kind !== "peer") {
        return undefined;
    }
    const { source, cls } = exchange.value;
    const { region } = source;
    return region === context.cfg.instance.region || region === ""
        ? undefined
        : bytes => context.linkPacers.acquire(region, bytes, cls.length, signal);
};
