import { describeError } from "@gypsumstage/shared/describeError";
import { isHttpStatus } from "@gypsumstage/shared/isHttpStatus";
import type { Dispatcher } from "undici";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import { createResponseCollector } from "./createResponseCollector.js";
import type { ResponseMemory } from "./ResponseMemory.js";
import type { UpstreamAttempt } from "./UpstreamAttempt.js";
import type { UpstreamConnection } from "./UpstreamConnection.js";
import type { UpstreamRequest } from "./UpstreamRequest.js";

/**
 * Sends a request on a connection and buffers the complete response, so that a truncated response is never relayed as
 * if it were complete. A response that exceeds a limit, or whose status is none of HTTP, breaks the attempt at once.
 *
 * @param connection - an idle connection
 * @param req - the request
 * @param memory - memory that the responses being received share
 * @returns the attempt
 */
export const sendRequest = (
    connection: UpstreamConnection,
    req: UpstreamRequest,
    memory: ResponseMemory,
): UpstreamAttempt => {
    let controller: Dispatcher.DispatchController | undefined;
    let isAborted = false;
    let settle: (outcome: AttemptOutcome) => void;
    const outcome = new Promise<AttemptOutcome>(resolve => {
        settle = resolve;
    });
    const breakOff = (reason: string): void => {
        settle({ kind: "broken", reason });
        controller?.abort(new Error(reason));
    };
    const collector = createResponseCollector(connection, memory, breakOff, {
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
    });
    void outcome.then(() => {
        collector.close();
        // An idle connection keeps the handler of its last response, which must not keep that response.
        settle = () => undefined;
    });
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
            if (isHttpStatus(statusCode)) {
                collector.addHead(statusCode, fields);
            }
            else {
                breakOff("status-invalid");
            }
        },
        onResponseData: (_controller, piece) => collector.addPiece(piece),
        onResponseEnd: () =>
            settle(
                connection.isBroken()
                    ? { kind: "broken", reason: "reset-in-answer" }
                    : collector.finish(req.method),
            ),
        onResponseError: (_controller, err) => {
            const reason = describeError(err);
            const isPortClosed = (err as NodeJS.ErrnoException).code === "ECONNREFUSED";
            settle(
                controller === undefined
                    ? { kind: "not-sent", reason, isPortClosed }
                    : { kind: "broken", reason },
            );
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
