import type { BodyError } from "./BodyError.js";
import { failure } from "./failure.js";
import type { Result } from "./Result.js";
import { success } from "./success.js";

/** Memory of the object that holds one received piece, in addition to its bytes. */
const PIECE_OVERHEAD_BYTES = 256;

/**
 * Reads a body up to a size. One that is larger, or that has no end, is given up, which closes its connection.
 *
 * @param body - the body
 * @param maxBytes - memory that it may take while it is read; small pieces take more than their bytes
 * @returns the bytes, or why there are none
 * @throws what the body throws when its connection fails
 */
export const readLimitedBody = async (
    body: AsyncIterable<Buffer>,
    maxBytes: number,
): Promise<Result<Buffer, Extract<BodyError, { readonly kind: "body-too-large"; }>>> => {
    const pieces: Buffer[] = [];
    let takenBytes = 0;
    for await (const piece of body) {
        takenBytes += piece.length + PIECE_OVERHEAD_BYTES;
        if (takenBytes > maxBytes) {
            return failure({ kind: "body-too-large", maxBytes });
        }
        pieces.push(piece);
    }
    return success(Buffer.concat(pieces));
};
