import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { IncomingMessage } from "node:http";
import type { BodyMemory } from "./BodyMemory.js";
import type { BodyOutcome } from "./BodyOutcome.js";
import type { BodyReservation } from "./BodyReservation.js";
import { createBodyBuffer } from "./createBodyBuffer.js";
import { SMALL_BODY_BYTES } from "./SMALL_BODY_BYTES.js";

/** Share of the time left for which a body may wait to be read; the rest is for reading and serving it. */
const WAIT_SHARE = 0.5;

/** What bounds the reading of a body. */
interface BodyLimits {
    readonly maxBytes: number;
    /** When the request has to be answered, on the monotonic clock. */
    readonly dueAtMs: number;
    readonly memory: BodyMemory;
    /** Resolves when the caller has closed its connection. */
    readonly callerDisconnect: Promise<void>;
}

const NO_BODY: BodyOutcome = { kind: "read", body: undefined, release: () => undefined };

const readLength = (req: IncomingMessage): number | undefined => {
    const text = req.headers["content-length"];
    return text === undefined ? undefined : Number(text);
};

/**
 * Reads the complete body of a caller's request into memory. A large body is left unread until there is memory for it, so that the caller
 * sends no more; a small one is refused when there is none.
 *
 * @param req - the caller's request, whose body has not been read yet
 * @param limits - the maximum size, the time and the memory
 * @returns the body; or `too-large`; or `no-memory` when there is no room in time; or `late` when the body did not come in time; or
 * `broken-off` when the connection closed before the end of the body
 */
export const readBody = async (req: IncomingMessage, limits: BodyLimits): Promise<BodyOutcome> => {
    const { maxBytes, dueAtMs, memory, callerDisconnect } = limits;
    const length = readLength(req);
    if (length !== undefined && length > maxBytes) {
        return { kind: "too-large" };
    }
    if (length === undefined && req.headers["transfer-encoding"] === undefined) {
        return NO_BODY;
    }
    const remainingMs = (): number => Math.max(0, dueAtMs - monotonicNow());
    const small = memory.small.open();
    let large: BodyReservation | undefined;
    const buffer = createBodyBuffer();
    const release = (): void => {
        small.release();
        large?.release();
    };
    const reserveLarge = async (bytes: number): Promise<boolean> => {
        const wait = { maxMs: WAIT_SHARE * remainingMs(), cancelled: callerDisconnect };
        large = await memory.large.reserve(bytes, wait);
        if (large !== undefined) {
            buffer.allocate(bytes);
            small.release();
        }
        return large !== undefined;
    };
    if (length !== undefined && length > SMALL_BODY_BYTES && !await reserveLarge(length)) {
        return { kind: "no-memory" };
    }
    if (req.destroyed) {
        release();
        return { kind: "broken-off" };
    }
    let timer: NodeJS.Timeout | undefined;
    const outcome = await new Promise<BodyOutcome>(resolve => {
        timer = setTimeout(() => resolve({ kind: "late" }), remainingMs());
        /** The final size of a body of unknown length is not known, so it gets memory for the largest one. */
        const enlarge = async (): Promise<void> => {
            req.pause();
            if (await reserveLarge(maxBytes)) {
                req.resume();
            }
            else {
                resolve({ kind: "no-memory" });
            }
        };
        let isEnlarging = false;
        req.on("data", (chunk: Buffer) => {
            const size = buffer.size() + chunk.length;
            if (size > maxBytes) {
                resolve({ kind: "too-large" });
                return;
            }
            if (large === undefined && !small.grow(buffer.costOf(chunk.length))) {
                resolve({ kind: "no-memory" });
                return;
            }
            buffer.add(chunk);
            if (large === undefined && size > SMALL_BODY_BYTES && !isEnlarging) {
                isEnlarging = true;
                void enlarge();
            }
        });
        req.on("end", () => {
            large?.shrink(buffer.size());
            resolve({ kind: "read", body: buffer.take(), release });
        });
        req.on("error", () => resolve({ kind: "broken-off" }));
        req.on("close", () => resolve({ kind: "broken-off" }));
    });
    clearTimeout(timer);
    if (outcome.kind !== "read") {
        req.removeAllListeners("data");
        release();
    }
    return outcome;
};
