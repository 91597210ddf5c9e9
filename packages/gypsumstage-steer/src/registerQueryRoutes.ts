import { diffIntents } from "@gypsumstage/domain/diffIntents";
import { formatIntent } from "@gypsumstage/domain/formatIntent";
import type { IntentSections } from "@gypsumstage/domain/IntentSections";
import { parseIntent } from "@gypsumstage/domain/parseIntent";
import { mapResult } from "@gypsumstage/shared/mapResult";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { findDrainShortfalls } from "@gypsumstage/steering/findDrainShortfalls";
import type { FastifyInstance } from "fastify";
import { z } from "zod";
import { checkInput } from "./checkInput.js";
import { createDrainPredicate } from "./createDrainPredicate.js";
import { describeStatus } from "./describeStatus.js";
import { drainBodySchema } from "./drainBodySchema.js";
import { explainRoute } from "./explainRoute.js";
import { intentBodySchema } from "./intentBodySchema.js";
import { sendResult } from "./sendResult.js";
import type { SteerContext } from "./SteerContext.js";

const routeQuerySchema = z.strictObject({ method: z.string().default("GET"), path: z.string() });

const readCurrentIntent = (
    { store }: SteerContext,
): { readonly generation: number; readonly sections: IntentSections; } => {
    const { configuration } = store.get();
    return {
        generation: configuration?.generation ?? 0,
        sections: configuration === undefined ? {} : formatIntent(configuration.intent),
    };
};

/**
 * Registers the read-only routes of the administration API.
 *
 * @param app - the HTTP server of the steer process
 * @param context - the view and the head reads from which responses are created
 */
export const registerQueryRoutes = (app: FastifyInstance, context: SteerContext): void => {
    app.get("/v1/status", async (_req, reply) => reply.send(describeStatus(context)));
    app.get("/v1/intent", async (_req, reply) => reply.send(readCurrentIntent(context)));
    app.post("/v1/intent/check", async (req, reply) => {
        const body = checkInput(intentBodySchema, req.body);
        const intent = body.ok ? parseIntent(body.value.sections) : body;
        const { sections } = readCurrentIntent(context);
        return sendResult(
            reply,
            mapResult(intent, value => ({ changes: diffIntents(sections, formatIntent(value)) })),
        );
    });
    app.post("/v1/drains/plan", async (req, reply) => {
        const body = checkInput(drainBodySchema, req.body);
        const plan = mapResult(
            body,
            drain => findDrainShortfalls(createDrainPredicate(drain), context.store.get(), monotonicNow()),
        );
        return sendResult(reply, mapResult(plan, shortfalls => ({ shortfalls })));
    });
    app.get("/v1/explain", async (req, reply) => {
        const query = checkInput(routeQuerySchema, req.query);
        return sendResult(reply, mapResult(query, ({ method, path }) => explainRoute(context, method, path)));
    });
};
