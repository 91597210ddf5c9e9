import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { classifyRequest } from "@gypsumstage/steering/classifyRequest";
import type { Context } from "@opentelemetry/api";
import type { IncomingMessage } from "node:http";
import type { EntryContext } from "../EntryContext.js";
import { createProblemReply } from "../reply/createProblemReply.js";
import type { EntryReply } from "../reply/EntryReply.js";
import { createRequestBody } from "./createRequestBody.js";
import type { Exchange } from "./Exchange.js";
import { HEADERS } from "./HEADERS.js";
import type { RequestSource } from "./RequestSource.js";
import { selectForwardedHeaders } from "./selectForwardedHeaders.js";

const MAX_KEY_CHARS = 200;

interface ReceivedRequest {
    readonly req: IncomingMessage;
    readonly signal: AbortSignal;
    readonly nowMs: number;
    readonly isPeer: boolean;
    readonly trace: Context;
}

const parseSource = (req: IncomingMessage, isPeer: boolean): RequestSource => {
    if (!isPeer) {
        return { kind: "caller" };
    }
    const [region = "", instance = ""] = String(req.headers[HEADERS.hop] ?? "").split("/");
    const keyMadeAtMs = Number(req.headers[HEADERS.keyMade]);
    return {
        kind: "peer",
        region,
        instance,
        isKeyChecked: req.headers[HEADERS.keyChecked] === "yes",
        keyMadeAtMs: Number.isSafeInteger(keyMadeAtMs) && keyMadeAtMs > 0 ? keyMadeAtMs : undefined,
    };
};

const parseDeadline = (req: IncomingMessage, classDeadlineMs: number): number | undefined => {
    const header = req.headers[HEADERS.deadline];
    if (header === undefined) {
        return classDeadlineMs;
    }
    const requestedMs = Number(header);
    return Number.isFinite(requestedMs) && requestedMs > 0
        ? Math.min(requestedMs, classDeadlineMs)
        : undefined;
};

/**
 * Parses a received request: determines its class, deadline, source and idempotency key.
 *
 * @param context - the view, whose configuration declares the classes
 * @param received - the request as received
 * @returns the request to serve, or the error reply when it is not valid or its class is not known
 */
export const readExchange = (
    { view }: Pick<EntryContext, "view">,
    received: ReceivedRequest,
): Result<Exchange, EntryReply> => {
    const { req } = received;
    const { configuration } = view.get();
    if (configuration === undefined) {
        return failure(
            createProblemReply("no-configuration", "not-run", "no configuration is known here yet"),
        );
    }
    const url = req.url ?? "/";
    const method = req.method ?? "GET";
    const cls = classifyRequest(configuration.intent, method, url.split("?")[0] ?? url);
    if (cls === undefined) {
        return failure(
            createProblemReply("route-unknown", "not-run", `no class is declared for ${method} ${url}`),
        );
    }
    const deadlineMs = parseDeadline(req, cls.deadlineMs);
    if (deadlineMs === undefined) {
        return failure(
            createProblemReply(
                "header-invalid",
                "not-run",
                `${HEADERS.deadline}: a number of milliseconds above 0`,
            ),
        );
    }
    const key = req.headers[HEADERS.idempotencyKey];
    if (typeof key === "string" && (key.length === 0 || key.length > MAX_KEY_CHARS)) {
        return failure(
            createProblemReply(
                "header-invalid",
                "not-run",
                `${HEADERS.idempotencyKey}: 1 to ${MAX_KEY_CHARS} characters`,
            ),
        );
    }
    return success({
        cls,
        method,
        url,
        headers: selectForwardedHeaders(req.headers),
        body: createRequestBody(req),
        deadlineAtMs: received.nowMs + deadlineMs,
        signal: received.signal,
        source: parseSource(req, received.isPeer),
        key: typeof key === "string" ? key : undefined,
        trace: received.trace,
    });
};
