import { describeError } from "@gypsumstage/shared/describeError";
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { UpstreamAttempt } from "./UpstreamAttempt.js";
import type { UpstreamConnection } from "./UpstreamConnection.js";
import type { UpstreamRequest } from "./UpstreamRequest.js";

const STATUS_OK = 200;
/** Largest response body that is buffered. */
const MAX_RESPONSE_BYTES = 16_777_216;

/**
 * Sends a request on a connection and buffers the complete response, so that a truncated response is never relayed as
 * if it were complete.
 *
 * @param connection - an idle connection
 * @param req - the request
 * @returns the attempt
 */
export const sendRequest = (connection: UpstreamConnection, req: UpstreamRequest): UpstreamAttempt => {
    let controller: Dispatcher.DispatchController | undefined;
    let isAborted = false;
    let settle: (outcome: AttemptOutcome) => void;
    const outcome = new Promise<AttemptOutcome>(resolve => {
        settle = resolve;
    });
    let status = 0;
    let headers: IncomingHttpHeaders = {};
    const chunks: Buffer[] = [];
    let size = 0;
    const abort = (): void => {
        isAborted = true;
        settle({ kind: "aborted", wasSent: controller !== undefined });
        controller?.abort(new Error("attempt aborted"));
        void connection.client.destroy();
    };
    const handler: Dispatcher.DispatchHandler = {
        onRequestStart: started => {
            if (isAborted) {
                started.abort(new Error("attempt aborted"));
                return;
            }
            controller = started;
        },
        onResponseStart: (_controller, statusCode, fields) => {
            if (statusCode >= STATUS_OK) {
                status = statusCode;
                headers = fields;
            }
        },
        onResponseData: (current, chunk) => {
            size += chunk.length;
            chunks.push(chunk);
            if (size > MAX_RESPONSE_BYTES) {
                current.abort(new Error("answer too large"));
            }
        },
        onResponseEnd: () =>
            settle(
                connection.isBroken()
                    ? { kind: "broken", reason: "reset-in-answer" }
                    : { kind: "answered", status, headers, body: Buffer.concat(chunks) },
            ),
        onResponseError: (_controller, err) => {
            const kind = controller === undefined ? "not-sent" : "broken";
            settle({ kind, reason: describeError(err) });
        },
    };
    connection.client.dispatch(
        {
            method: req.method as Dispatcher.HttpMethod,
            path: req.path,
            headers: req.headers as Record<string, string | string[]>,
            body: req.body ?? null, // eslint-disable-line no-restricted-syntax -- undici's "no body"
        },
        handler,
    );
    return { outcome, abort };
};
