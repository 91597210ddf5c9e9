import type { IncomingMessage } from "node:http";
import type { RequestBody } from "./RequestBody.js";

/**
 * Creates the `RequestBody` of a received request.
 *
 * @param req - the received request; its stream must not have been read
 * @returns the body, which reads the stream when it is opened
 */
export const createRequestBody = (req: IncomingMessage): RequestBody => {
    let isTouched = false;
    const contentLength = req.headers["content-length"];
    const isPresent = req.headers["transfer-encoding"] !== undefined
        || (contentLength !== undefined && contentLength !== "0");
    const readChunks = async function*(): AsyncGenerator<Buffer> {
        isTouched = true;
        // When the consumer stops early, the request must not be destroyed: the reply is sent on the same connection.
        for await (const chunk of req.iterator({ destroyOnReturn: false })) {
            yield chunk as Buffer;
        }
    };
    return {
        isPresent,
        isUntouched: () => !isTouched,
        isComplete: () => !isPresent || req.complete,
        open: readChunks,
    };
};
