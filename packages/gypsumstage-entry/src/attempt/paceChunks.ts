import type { TakeBytes } from "../read/TakeBytes.js";

const MAX_PART_BYTES = 16_384;
/** What framing adds to a part of a message, in bytes, rounded up. */
const FRAMING_BYTES = 64;

/**
 * Sends on the parts of a body at the pace that a link allows.
 *
 * @param body - the body
 * @param take - waits until bytes may be sent
 * @returns the parts, none larger than a small fraction of a second's worth
 */
export const paceChunks = async function*(
    body: AsyncIterable<Buffer>,
    take: TakeBytes,
): AsyncGenerator<Buffer> {
    for await (const chunk of body) {
        for (let start = 0; start < chunk.length; start += MAX_PART_BYTES) {
            const part = chunk.subarray(start, start + MAX_PART_BYTES);
            await take(part.length + FRAMING_BYTES);
            yield part;
        }
    }
};
