import { createPieceBuffer } from "@gypsumstage/shared/createPieceBuffer";
import type { PieceBuffer } from "@gypsumstage/shared/PieceBuffer";

/** The part of a body that has been read. */
interface BodyBuffer extends PieceBuffer {
    /** Allocates room for a body of this size at once, so that its pieces need not be joined in the end. */
    readonly allocate: (bytes: number) => void;
}

/**
 * Creates the buffer for a body.
 *
 * @returns the buffer, empty
 */
export const createBodyBuffer = (): BodyBuffer => {
    const pieces = createPieceBuffer();
    let room: Buffer | undefined;
    let filledBytes = 0;
    return {
        size: () => room === undefined ? pieces.size() : filledBytes,
        costOf: bytes => room === undefined ? pieces.costOf(bytes) : 0,
        add: piece => {
            if (room === undefined) {
                pieces.add(piece);
            }
            else {
                filledBytes += piece.copy(room, filledBytes);
            }
        },
        allocate: bytes => {
            room = Buffer.allocUnsafeSlow(bytes);
            filledBytes = pieces.take().copy(room);
        },
        take: () => room?.subarray(0, filledBytes) ?? pieces.take(),
    };
};
