import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { classify } from "@gypsumstage/steering/classify";
import type { Context } from "@opentelemetry/api";
import type { IncomingMessage } from "node:http";
import { createProblem } from "../answer/createProblem.js";
import type { EntryReply } from "../answer/EntryReply.js";
import type { EntryContext } from "../EntryContext.js";
import { createRequestBody } from "./createRequestBody.js";
import type { Exchange } from "./Exchange.js";
import { forwardHeaders } from "./forwardHeaders.js";
import { HEADERS } from "./HEADERS.js";
import type { RequestSource } from "./RequestSource.js";

const MAX_KEY_LENGTH = 200;

interface Received {
    readonly req: IncomingMessage;
    readonly signal: AbortSignal;
    readonly nowMs: number;
    readonly isPeer: boolean;
    readonly trace: Context;
}

const readSource = (req: IncomingMessage, isPeer: boolean): RequestSource => {
    if (!isPeer) {
        return { kind: "caller" };
    }
    const [region = "", instance = ""] = String(req.headers[HEADERS.hop] ?? "").split("/");
    const made = Number(req.headers[HEADERS.keyMade]);
    return {
        kind: "peer",
        region,
        instance,
        isKeyChecked: req.headers[HEADERS.keyChecked] === "yes",
        keyMadeAtMs: Number.isSafeInteger(made) && made > 0 ? made : undefined,
    };
};

const readDeadline = (req: IncomingMessage, declaredMs: number): number | undefined => {
    const text = req.headers[HEADERS.deadline];
    if (text === undefined) {
        return declaredMs;
    }
    const given = Number(text);
    return Number.isFinite(given) && given > 0 ? Math.min(given, declaredMs) : undefined;
};

/**
 * Reads a request: its class, deadline and key.
 *
 * @param context - the process
 * @param received - the request as received
 * @returns the request for the entry, or the reply when it cannot be taken
 */
export const readExchange = (
    { view }: Pick<EntryContext, "view">,
    received: Received,
): Result<Exchange, EntryReply> => {
    const { req } = received;
    const { configuration } = view.get();
    if (configuration === undefined) {
        return failure(createProblem("no-configuration", "not-run", "no configuration is known here yet"));
    }
    const url = req.url ?? "/";
    const method = req.method ?? "GET";
    const cls = classify(configuration.intent, method, url.split("?")[0] ?? url);
    if (cls === undefined) {
        return failure(
            createProblem("route-unknown", "not-run", `no class is declared for ${method} ${url}`),
        );
    }
    const deadlineMs = readDeadline(req, cls.deadlineMs);
    if (deadlineMs === undefined) {
        return failure(
            createProblem(
                "header-invalid",
                "not-run",
                `${HEADERS.deadline}: a number of milliseconds above 0`,
            ),
        );
    }
    const key = req.headers[HEADERS.idempotencyKey];
    if (typeof key === "string" && (key.length === 0 || key.length > MAX_KEY_LENGTH)) {
        return failure(
            createProblem(
                "header-invalid",
                "not-run",
                `${HEADERS.idempotencyKey}: 1 to ${MAX_KEY_LENGTH} characters`,
            ),
        );
    }
    return success({
        cls,
        method,
        url,
        headers: forwardHeaders(req.headers),
        body: createRequestBody(req),
        deadlineAtMs: received.nowMs + deadlineMs,
        signal: received.signal,
        source: readSource(req, received.isPeer),
        key: typeof key === "string" ? key : undefined,
        trace: received.trace,
    });
};
