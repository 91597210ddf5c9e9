import type { AcquireBytes } from "../read/AcquireBytes.js";

const MAX_PACED_CHUNK_BYTES = 16_384;
/** Size that framing adds to a chunk, rounded up. */
const FRAMING_BYTES = 64;

/**
 * Yields the chunks of a body no faster than a link permits. Large chunks are split.
 *
 * @param body - the body
 * @param acquireBytes - waits until bytes may be sent
 * @returns chunks of at most `MAX_PACED_CHUNK_BYTES`, a small fraction of what a link carries in a second
 */
export const paceChunks = async function*(
    body: AsyncIterable<Buffer>,
    acquireBytes: AcquireBytes,
): AsyncGenerator<Buffer> {
    for await (const chunk of body) {
        for (let offset = 0; offset < chunk.length; offset += MAX_PACED_CHUNK_BYTES) {
            const pacedChunk = chunk.subarray(offset, offset + MAX_PACED_CHUNK_BYTES);
            await acquireBytes(pacedChunk.length + FRAMING_BYTES);
            yield pacedChunk;
        }
    }
};
