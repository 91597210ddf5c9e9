import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";

/**
 * Pipes a body into a server response. Uses `pipe` because `pipeline` creates and aborts an `AbortController` for every
 * body, which takes a tenth of the entry's CPU time.
 *
 * @param body - the body to send
 * @param res - the server response; its head has been written
 * @returns resolves when the response has been sent; rejects when the body fails or the client disconnects
 */
export const pipeBody = (body: Readable, res: ServerResponse): Promise<void> =>
    new Promise((resolve, reject) => {
        // The response also emits "close" after it has been sent; only an earlier close is a failure.
        const onClose = (): void =>
            res.writableFinished
                ? resolve()
                : reject(new Error("the client disconnected before the response was complete"));
        body.once("error", reject);
        res.once("close", onClose);
        body.pipe(res);
    });
