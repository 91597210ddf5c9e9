import { createPieceBuffer } from "@gypsumstage/shared/createPieceBuffer";
import { describeError } from "@gypsumstage/shared/describeError";
import type { Readable } from "node:stream";
import type { CollectedBody } from "./CollectedBody.js";

/**
 * Buffers a body up to a limit. The rest of a larger body remains unread in the stream.
 *
 * @param body - the stream; it is not destroyed when the limit is exceeded
 * @param limitBytes - largest size that is buffered completely, in bytes
 * @returns the complete body, its start, or the error of the stream
 */
export const collectBody = async (body: Readable, limitBytes: number): Promise<CollectedBody> => {
    const pieces = createPieceBuffer();
    try {
        for await (const chunk of body.iterator({ destroyOnReturn: false })) {
            pieces.add(chunk as Buffer);
            if (pieces.size() > limitBytes) {
                return { kind: "too-large", start: pieces.take() };
            }
        }
        return { kind: "complete", body: pieces.take() };
    }
    catch (err) {
        return { kind: "failed", reason: describeError(err) };
    }
};
