/** Bytes that arrive piece by piece. */
export interface PieceBuffer {
    /** Bytes of all pieces. */
    readonly size: () => number;
    /** Returns the memory that a piece of this size takes when it is added next, in bytes. */
    readonly costOf: (pieceBytes: number) => number;
    readonly add: (piece: Buffer) => void;
    /** Joins the pieces, and forgets them. */
    readonly take: () => Buffer;
}
