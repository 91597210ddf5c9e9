import type { AdminError } from "@gypsumstage/domain/AdminError";
import { diffIntents } from "@gypsumstage/domain/diffIntents";
import { formatIntent } from "@gypsumstage/domain/formatIntent";
import { readIntent } from "@gypsumstage/domain/readIntent";
import { failure } from "@gypsumstage/shared/failure";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { findShortfalls } from "@gypsumstage/steering/findShortfalls";
import type { FastifyInstance, FastifyReply } from "fastify";
import { z } from "zod";
import { applyIntent } from "./applyIntent.js";
import { cancelDrain } from "./cancelDrain.js";
import { cancelMove } from "./cancelMove.js";
import { changeConfiguration } from "./changeConfiguration.js";
import type { ConfigurationChange } from "./ConfigurationChange.js";
import { createDrainScope } from "./createDrainScope.js";
import { describeStatus } from "./describeStatus.js";
import { explainRoute } from "./explainRoute.js";
import { startDrain } from "./startDrain.js";
import { startMove } from "./startMove.js";
import type { SteerContext } from "./SteerContext.js";

const STATUS_BY_KIND: Readonly<Record<AdminError["kind"], number>> = {
    "intent-invalid": 422,
    "request-invalid": 400,
    "conflict": 409,
    "not-found": 404,
    "already-exists": 409,
    "shortfall": 422,
    "not-accepted": 503,
    "acceptance-unknown": 504,
};

const scopes = z.enum(["endpoint", "dataCentre", "region"], "endpoint, dataCentre or region");
const drainBody = z.strictObject({ scope: scopes, name: z.string(), isForced: z.boolean().default(false) });
const moveBody = z.strictObject({
    service: z.string(),
    from: z.string(),
    to: z.string(),
    part: z.number().gt(0).max(1),
});
const moveKey = z.strictObject({ service: z.string(), from: z.string() });
const intentBody = z.strictObject({
    base: z.number().int().optional(),
    sections: z.record(z.string(), z.record(z.string(), z.string())),
});
const routeQuery = z.strictObject({ method: z.string().default("GET"), path: z.string() });

/**
 * Serves the administration API under `/v1`.
 *
 * @param app - the HTTP server of the steer process
 * @param context - the process
 */
export const registerAdminRoutes = (app: FastifyInstance, context: SteerContext): void => {
    const check = <Schema extends z.ZodType>(
        schema: Schema,
        input: unknown,
    ): Result<z.output<Schema>, AdminError> => {
        const parsed = schema.safeParse(input);
        return parsed.success
            ? success(parsed.data)
            : failure({ kind: "request-invalid", reason: z.prettifyError(parsed.error) });
    };
    const send = (reply: FastifyReply, res: Result<unknown, AdminError>): FastifyReply =>
        res.ok
            ? reply.send(res.value)
            : reply.code(STATUS_BY_KIND[res.error.kind]).send({ error: res.error });
    const change = async (
        reply: FastifyReply,
        change: Result<ConfigurationChange, AdminError>,
    ): Promise<FastifyReply> => {
        const res = change.ok ? await changeConfiguration(context, change.value) : change;
        return send(reply, res.ok ? success({ generation: res.value.generation }) : res);
    };
    const map = <From, To>(res: Result<From, AdminError>, to: (value: From) => To): Result<To, AdminError> =>
        res.ok ? success(to(res.value)) : res;

    app.get("/v1/status", async (_req, reply) => reply.send(describeStatus(context)));
    app.get("/v1/intent", async (_req, reply) => {
        const { configuration } = context.store.get();
        const sections = configuration === undefined ? {} : formatIntent(configuration.intent);
        return reply.send({ generation: configuration?.generation ?? 0, sections });
    });
    app.post(
        "/v1/intent",
        async (req, reply) =>
            change(reply, map(check(intentBody, req.body), body => applyIntent(body.sections, body.base))),
    );
    app.post("/v1/intent/check", async (req, reply) => {
        const body = check(intentBody, req.body);
        const intent = body.ok ? readIntent(body.value.sections) : body;
        const { configuration } = context.store.get();
        const current = configuration === undefined ? {} : formatIntent(configuration.intent);
        return send(reply, map(intent, value => ({ changes: diffIntents(current, formatIntent(value)) })));
    });
    app.post("/v1/drains/plan", async (req, reply) => {
        const body = check(drainBody, req.body);
        return send(
            reply,
            map(body, drain => ({
                shortfalls: findShortfalls(createDrainScope(drain), context.store.get(), monotonicNow()),
            })),
        );
    });
    app.post(
        "/v1/drains",
        async (req, reply) =>
            change(
                reply,
                map(
                    check(drainBody, req.body),
                    ({ isForced, ...drain }) =>
                        startDrain({ ...drain, startedAtMs: Date.now() }, context.store.get(), isForced),
                ),
            ),
    );
    app.post(
        "/v1/drains/cancel",
        async (req, reply) => change(reply, map(check(drainBody, req.body), cancelDrain)),
    );
    app.post(
        "/v1/moves",
        async (req, reply) =>
            change(
                reply,
                map(check(moveBody, req.body), move => startMove({ ...move, startedAtMs: Date.now() })),
            ),
    );
    app.post(
        "/v1/moves/cancel",
        async (req, reply) => change(reply, map(check(moveKey, req.body), cancelMove)),
    );
    app.get(
        "/v1/explain",
        async (req, reply) =>
            send(
                reply,
                map(check(routeQuery, req.query), query => explainRoute(context, query.method, query.path)),
            ),
    );
};
