import type { AdminError } from "@gypsumstage/domain/AdminError";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { mapResult } from "@gypsumstage/shared/mapResult";
import type { Result } from "@gypsumstage/shared/Result";
import type { FastifyInstance } from "fastify";
import { z } from "zod";
import { applyIntent } from "./applyIntent.js";
import { cancelDrain } from "./cancelDrain.js";
import { cancelMove } from "./cancelMove.js";
import { changeConfiguration } from "./changeConfiguration.js";
import { checkInput } from "./checkInput.js";
import type { ConfigurationChange } from "./ConfigurationChange.js";
import { drainBodySchema } from "./drainBodySchema.js";
import { intentBodySchema } from "./intentBodySchema.js";
import { sendResult } from "./sendResult.js";
import { startDrain } from "./startDrain.js";
import { startMove } from "./startMove.js";
import type { SteerContext } from "./SteerContext.js";

const moveBodySchema = z.strictObject({
    service: z.string(),
    from: z.string(),
    to: z.string(),
    part: z.number().gt(0).max(1),
});
const moveKeySchema = z.strictObject({ service: z.string(), from: z.string() });

type ParseChange = (body: unknown, view: SteeringView) => Result<ConfigurationChange, AdminError>;

const CHANGE_PARSER_BY_PATH: Readonly<Record<string, ParseChange>> = {
    "/v1/intent": body =>
        mapResult(checkInput(intentBodySchema, body), intent => applyIntent(intent.sections, intent.base)),
    "/v1/drains": (body, view) =>
        mapResult(
            checkInput(drainBodySchema, body),
            ({ isForced, ...drain }) => startDrain({ ...drain, startedAtMs: Date.now() }, view, isForced),
        ),
    "/v1/drains/cancel": body => mapResult(checkInput(drainBodySchema, body), cancelDrain),
    "/v1/moves": (body, view) =>
        mapResult(
            checkInput(moveBodySchema, body),
            move => startMove({ ...move, startedAtMs: Date.now() }, view),
        ),
    "/v1/moves/cancel": body => mapResult(checkInput(moveKeySchema, body), cancelMove),
};

/**
 * Registers the routes of the administration API that change the configuration.
 *
 * @param app - the HTTP server of the steer process
 * @param context - the view that changes are checked against, and the platform that stores them
 */
export const registerChangeRoutes = (app: FastifyInstance, context: SteerContext): void => {
    for (const [path, parseChange] of Object.entries(CHANGE_PARSER_BY_PATH)) {
        app.post(path, async (req, reply) => {
            const change = parseChange(req.body, context.store.get());
            const accepted = change.ok ? await changeConfiguration(context, change.value) : change;
            return sendResult(reply, mapResult(accepted, ({ generation }) => ({ generation })));
        });
    }
};
