import type { AdminError } from "@gypsumstage/domain/AdminError";
import type { Result } from "@gypsumstage/shared/Result";
import type { FastifyReply } from "fastify";

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

/**
 * Sends the result of an operation of the administration API, with the HTTP status for the kind of an error.
 *
 * @param reply - the reply that is sent
 * @param res - the response body, or the error
 * @returns the same reply, for Fastify handlers to return
 */
export const sendResult = (reply: FastifyReply, res: Result<unknown, AdminError>): FastifyReply =>
    res.ok ? reply.send(res.value) : reply.code(STATUS_BY_KIND[res.error.kind]).send({ error: res.error });
