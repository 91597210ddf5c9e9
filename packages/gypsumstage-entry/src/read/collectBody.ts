import { describeError } from "@gypsumstage/shared/describeError";
import type { Readable } from "node:stream";
import type { CollectedBody } from "./CollectedBody.js";

/**
 * Reads a body up to a limit. A body that is larger is left paused behind what was read.
 *
 * @param body - the body
 * @param limitBytes - the limit
 * @returns what was read
 */
export const collectBody = async (body: Readable, limitBytes: number): Promise<CollectedBody> => {
    const chunks: Buffer[] = [];
    let size = 0;
    try {
        for await (const chunk of body.iterator({ destroyOnReturn: false })) {
            chunks.push(chunk as Buffer);
            size += (chunk as Buffer).length;
            if (size > limitBytes) {
                return { kind: "large", start: Buffer.concat(chunks) };
            }
        }
        return { kind: "whole", body: Buffer.concat(chunks) };
    }
    catch (err) {
        return { kind: "cut", reason: describeError(err) };
    }
};
