import type { IncomingMessage } from "node:http";
import type { RequestBody } from "./RequestBody.js";

/**
 * Wraps the body of a request.
 *
 * @param req - the request as received
 * @returns the body
 */
export const createRequestBody = (req: IncomingMessage): RequestBody => {
    let isTouched = false;
    const length = req.headers["content-length"];
    const isPresent = req.headers["transfer-encoding"] !== undefined
        || (length !== undefined && length !== "0");
    const read = async function*(): AsyncGenerator<Buffer> {
        isTouched = true;
        // Leaving the loop early must not destroy the request, or the caller would lose its answer.
        for await (const chunk of req.iterator({ destroyOnReturn: false })) {
            yield chunk as Buffer;
        }
    };
    return {
        isPresent,
        isUntouched: () => !isTouched,
        isComplete: () => !isPresent || req.complete,
        open: read,
    };
};
