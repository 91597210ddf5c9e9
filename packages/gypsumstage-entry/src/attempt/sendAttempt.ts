import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { propagation, SpanKind, SpanStatusCode, trace } from "@opentelemetry/api";
import type { Dispatcher } from "undici";
import type { EntryContext } from "../EntryContext.js";
import { estimateHeadBytes } from "../read/estimateHeadBytes.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { HeaderFields } from "../reply/HeaderFields.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { AttemptTarget } from "./AttemptTarget.js";
import { isNotSentError } from "./isNotSentError.js";
import { paceChunks } from "./paceChunks.js";

/**
 * Sends a request over HTTP to an endpoint or another entry. Bytes for another region are paced by the link's pacer.
 *
 * @param context - the HTTP client, the link pacers, the tracer and the metrics
 * @param exchange - the request
 * @param target - the receiver of the request
 * @returns the result of the attempt; the caller must consume or destroy the body of a response
 */
export const sendAttempt = async (
    context: EntryContext,
    exchange: Exchange,
    target: AttemptTarget,
): Promise<AttemptResult> => {
    const span = context.tracer.startSpan(
        `attempt ${target.targetName}`,
        { kind: SpanKind.CLIENT },
        exchange.trace,
    );
    const headers: Record<string, string | readonly string[]> = { ...exchange.headers, ...target.headers };
    headers[HEADERS.deadline] = String(Math.max(1, Math.floor(exchange.deadlineAtMs - monotonicNow())));
    propagation.inject(trace.setSpan(exchange.trace, span), headers);
    const acquireBytes = (bytes: number): Promise<void> =>
        target.remoteRegion === undefined
            ? Promise.resolve()
            : context.linkPacers.acquire(target.remoteRegion, bytes, exchange.cls.length, target.signal);
    const recordResult = (attempt: AttemptResult): AttemptResult => {
        span.setAttribute("gypsumstage.attempt", attempt.kind);
        if (attempt.kind !== "answered") {
            span.setStatus({ code: SpanStatusCode.ERROR, message: attempt.reason });
        }
        span.end();
        context.metrics.attempts.inc({ kind: attempt.kind });
        return attempt;
    };
    try {
        await acquireBytes(estimateHeadBytes(headers));
    }
    catch {
        return recordResult({ kind: "not-sent", reason: "the link had no room in time" });
    }
    const body = exchange.body.isPresent ? openBody(exchange, target, acquireBytes) : undefined;
    const opts: Dispatcher.RequestOptions = {
        origin: `http://${target.address}`,
        path: exchange.url,
        method: exchange.method as Dispatcher.HttpMethod,
        headers: headers as Record<string, string | string[]>,
        signal: target.signal,
        ...(body === undefined ? {} : { body: body as unknown as Buffer }),
    };
    try {
        const res = await context.dispatcher.request(opts);
        return recordResult({
            kind: "answered",
            status: res.statusCode,
            headers: res.headers as HeaderFields,
            body: res.body,
            targetName: target.targetName,
        });
    }
    catch (err) {
        const reason = describeError(err);
        return recordResult(
            isNotSentError(err, exchange.body) ? { kind: "not-sent", reason } : { kind: "unknown", reason },
        );
    }
};

const openBody = (
    exchange: Exchange,
    target: AttemptTarget,
    acquireBytes: (bytes: number) => Promise<void>,
): AsyncIterable<Buffer> =>
    target.remoteRegion === undefined ? exchange.body.open() : paceChunks(exchange.body.open(), acquireBytes);
