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
 * Reads the complete body of a caller's request into memory, once there is memory for it. Until then the body is left unread, so that
 * the caller sends no more.
 *
 * @param req - the caller's request, whose body has not been read yet
 * @param limits - the maximum size, the time and the memory
 * @returns the body; or `too-large`; or `no-memory` when there is no room in time; or `late` when a large body did not come in time; or
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
    const held: BodyReservation[] = [];
    const release = (): void => held.forEach(each => each.release());
    const reserve = async (bytes: number): Promise<boolean> => {
        const lane = bytes > SMALL_BODY_BYTES ? memory.large : memory.small;
        const maxMs = Math.max(0, WAIT_SHARE * (dueAtMs - monotonicNow()));
        const reservation = await lane.reserve(bytes, { maxMs, cancelled: callerDisconnect });
        if (reservation !== undefined) {
            held.push(reservation);
        }
        return reservation !== undefined;
    };
    if (!await reserve(length ?? SMALL_BODY_BYTES)) {
        return { kind: "no-memory" };
    }
    if (req.destroyed) {
        release();
        return { kind: "broken-off" };
    }
    const buffer = createBodyBuffer();
    let timer: NodeJS.Timeout | undefined;
    const outcome = await new Promise<BodyOutcome>(resolve => {
        const allocate = (bytes: number): void => {
            buffer.allocate(bytes);
            timer = setTimeout(() => resolve({ kind: "late" }), Math.max(0, dueAtMs - monotonicNow()));
        };
        /** A body of unknown length that is not small needs memory for the largest one. */
        const enlarge = async (): Promise<void> => {
            req.pause();
            if (!await reserve(maxBytes)) {
                resolve({ kind: "no-memory" });
                return;
            }
            allocate(maxBytes);
            req.resume();
        };
        if (length !== undefined && length > SMALL_BODY_BYTES) {
            allocate(length);
        }
        let isSmall = length === undefined;
        req.on("data", (chunk: Buffer) => {
            if (buffer.size() + chunk.length > maxBytes) {
                resolve({ kind: "too-large" });
                return;
            }
            buffer.add(chunk);
            if (isSmall && buffer.size() > SMALL_BODY_BYTES) {
                isSmall = false;
                void enlarge();
            }
        });
        req.on("end", () => resolve({ kind: "read", body: buffer.take(), release }));
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
