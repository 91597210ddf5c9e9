import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";

/**
 * Sends a body to the receiver of a reply. Plain pipes are used because `pipeline` makes and aborts a controller for
 * every body, which costs a tenth of the entry's processor time.
 *
 * @param body - the body
 * @param res - the reply
 * @returns resolves when the reply has been sent; rejects when the body breaks off or the receiver leaves
 */
export const pipeBody = (body: Readable, res: ServerResponse): Promise<void> =>
    new Promise((resolve, reject) => {
        // A reply that was sent closes as well; only an earlier close is a failure.
        const onClose = (): void =>
            res.writableFinished ? resolve() : reject(new Error("the receiver has left"));
        body.once("error", reject);
        res.once("close", onClose);
        body.pipe(res);
    });
