import type { ServerResponse } from "node:http";
import type { ResponseMemory } from "../upstream/ResponseMemory.js";

/** Size of the pieces in which a body is written; the completion of each write shows that the caller reads. */
const PIECE_BYTES = 32_768;

/**
 * Sends the body of a response to its caller, and counts its memory until the caller's connection has taken it. A caller that is cut off
 * sees a reset, so that the part which it has got never looks complete.
 *
 * @param res - the response, whose head has been written
 * @param body - the whole body
 * @param memory - memory that all responses share
 */
export const sendBody = (res: ServerResponse, body: Buffer, memory: Pick<ResponseMemory, "hold">): void => {
    // `res.socket` is not set yet for a response that waits behind another one on its connection.
    const { socket } = res.req;
    const reservation = memory.hold(body.length, () => {
        socket.resetAndDestroy();
    });
    res.once("finish", reservation.close);
    res.once("close", reservation.close);
    const sendFrom = (start: number): void => {
        const end = start + PIECE_BYTES;
        if (end >= body.length) {
            res.end(body.subarray(start));
            return;
        }
        res.write(body.subarray(start, end), err => {
            if (!err && !res.destroyed) {
                reservation.recordProgress();
                sendFrom(end);
            }
        });
    };
    sendFrom(0);
};
