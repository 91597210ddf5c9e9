import type { IncomingMessage } from "node:http";
import type { BodyOutcome } from "./BodyOutcome.js";

/**
 * Reads the complete body of a caller's request into memory.
 *
 * @param req - the caller's request, whose body has not been read yet
 * @param maxBytes - the maximum size of the body, in bytes
 * @returns the body; or `too-large`; or `broken-off` when the connection closed before the end of the body
 */
export const readWholeBody = (req: IncomingMessage, maxBytes: number): Promise<BodyOutcome> => {
    if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
        return Promise.resolve({ kind: "too-large" });
    }
    const hasBody = req.headers["content-length"] !== undefined
        || req.headers["transfer-encoding"] !== undefined;
    if (!hasBody) {
        return Promise.resolve({ kind: "read", body: undefined });
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        req.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > maxBytes) {
                resolve({ kind: "too-large" });
                return;
            }
            chunks.push(chunk);
        });
        req.on("end", () => resolve({ kind: "read", body: Buffer.concat(chunks) }));
        req.on("error", () => resolve({ kind: "broken-off" }));
        req.on("close", () => resolve({ kind: "broken-off" }));
    });
};
