import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { propagation, SpanKind, SpanStatusCode, trace } from "@opentelemetry/api";
import type { Dispatcher } from "undici";
import type { AnswerHeaders } from "../answer/AnswerHeaders.js";
import type { EntryContext } from "../EntryContext.js";
import { estimateHeadBytes } from "../read/estimateHeadBytes.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { Attempt } from "./Attempt.js";
import type { AttemptTarget } from "./AttemptTarget.js";
import { isNotSentError } from "./isNotSentError.js";
import { paceChunks } from "./paceChunks.js";

/**
 * Makes one attempt over HTTP.
 *
 * @param context - the process
 * @param exchange - the request
 * @param target - where it goes
 * @returns what is known of the attempt; an answer's body is still to be read
 */
export const sendAttempt = async (
    context: EntryContext,
    exchange: Exchange,
    target: AttemptTarget,
): Promise<Attempt> => {
    const span = context.tracer.startSpan(
        `attempt ${target.place}`,
        { kind: SpanKind.CLIENT },
        exchange.trace,
    );
    const headers: Record<string, string | readonly string[]> = { ...exchange.headers, ...target.headers };
    headers[HEADERS.deadline] = String(Math.max(1, Math.floor(exchange.deadlineAtMs - monotonicNow())));
    propagation.inject(trace.setSpan(exchange.trace, span), headers);
    const takeBytes = (bytes: number): Promise<void> =>
        target.otherRegion === undefined
            ? Promise.resolve()
            : context.linkPacers.take(target.otherRegion, bytes, exchange.cls.length, target.signal);
    const finish = (attempt: Attempt): Attempt => {
        span.setAttribute("gypsumstage.attempt", attempt.kind);
        if (attempt.kind !== "answered") {
            span.setStatus({ code: SpanStatusCode.ERROR, message: attempt.reason });
        }
        span.end();
        context.metrics.attempts.inc({ kind: attempt.kind });
        return attempt;
    };
    try {
        await takeBytes(estimateHeadBytes(headers));
    }
    catch {
        return finish({ kind: "not-sent", reason: "the link had no room in time" });
    }
    const body = exchange.body.isPresent ? selectBody(exchange, target, takeBytes) : undefined;
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
        return finish({
            kind: "answered",
            status: res.statusCode,
            headers: res.headers as AnswerHeaders,
            body: res.body,
            place: target.place,
        });
    }
    catch (err) {
        const reason = describeError(err);
        return finish(
            isNotSentError(err, exchange.body) ? { kind: "not-sent", reason } : { kind: "unknown", reason },
        );
    }
};

const selectBody = (
    exchange: Exchange,
    target: AttemptTarget,
    takeBytes: (bytes: number) => Promise<void>,
): AsyncIterable<Buffer> =>
    target.otherRegion === undefined ? exchange.body.open() : paceChunks(exchange.body.open(), takeBytes);
