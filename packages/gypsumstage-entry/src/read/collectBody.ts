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
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const chunk of body.iterator({ destroyOnReturn: false })) {
            chunks.push(chunk as Buffer);
            sizeBytes += (chunk as Buffer).length;
            if (sizeBytes > limitBytes) {
                return { kind: "too-large", start: Buffer.concat(chunks) };
            }
        }
        return { kind: "complete", body: Buffer.concat(chunks) };
    }
    catch (err) {
        return { kind: "failed", reason: describeError(err) };
    }
};
