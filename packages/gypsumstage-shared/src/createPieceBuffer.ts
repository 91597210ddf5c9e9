import type { PieceBuffer } from "./PieceBuffer.js";

/** Size from which a piece is kept as it is; smaller ones are copied, as the object of each takes some hundred bytes. */
const KEPT_PIECE_BYTES = 1_024;
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 16_384;
/** Memory of the object that holds a block or a piece, in addition to its bytes. */
const OBJECT_BYTES = 256;

/**
 * Creates the buffer for bytes whose number isn't known in advance. It takes little more memory than their number, however
 * small the pieces are.
 *
 * @returns the buffer, empty
 */
export const createPieceBuffer = (): PieceBuffer => {
    let parts: Buffer[] = [];
    let size = 0;
    /** The block into which small pieces are copied, and how much of it is used. */
    let block = Buffer.alloc(0);
    let usedBytes = 0;
    /** Bytes copied since the last piece that was kept; the next block is as large. */
    let copiedBytes = 0;
    const hasRoom = (bytes: number): boolean => usedBytes + bytes <= block.length;
    const nextBlockBytes = (bytes: number): number =>
        Math.max(bytes, MIN_BLOCK_BYTES, Math.min(MAX_BLOCK_BYTES, copiedBytes));
    const closeBlock = (): void => {
        if (usedBytes > 0) {
            parts.push(block.subarray(0, usedBytes));
        }
        block = Buffer.alloc(0);
        usedBytes = 0;
    };
    const copy = (piece: Buffer): void => {
        if (!hasRoom(piece.length)) {
            const bytes = nextBlockBytes(piece.length);
            closeBlock();
            block = Buffer.allocUnsafeSlow(bytes);
        }
        usedBytes += piece.copy(block, usedBytes);
        copiedBytes += piece.length;
    };
    return {
        size: () => size,
        costOf: bytes => {
            if (bytes >= KEPT_PIECE_BYTES) {
                return bytes + OBJECT_BYTES;
            }
            return hasRoom(bytes) ? 0 : nextBlockBytes(bytes) + OBJECT_BYTES;
        },
        add: piece => {
            size += piece.length;
            if (piece.length < KEPT_PIECE_BYTES) {
                copy(piece);
                return;
            }
            closeBlock();
            copiedBytes = 0;
            parts.push(piece);
        },
        take: () => {
            closeBlock();
            const [first = block, ...others] = parts;
            const joined = others.length === 0 ? first : Buffer.concat(parts);
            parts = [];
            size = 0;
            return joined;
        },
    };
};
