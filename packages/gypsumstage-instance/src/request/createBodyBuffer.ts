/** The part of a body that has been read. */
interface BodyBuffer {
    readonly size: () => number;
    readonly add: (chunk: Buffer) => void;
    /** Allocates room for a body of this size at once, so that its parts need not be joined in the end. */
    readonly allocate: (bytes: number) => void;
    readonly take: () => Buffer;
}

/**
 * Creates the buffer for a body. Parts that come before room is allocated are kept as they are.
 *
 * @returns the buffer, empty
 */
export const createBodyBuffer = (): BodyBuffer => {
    let parts: Buffer[] = [];
    let size = 0;
    let room: Buffer | undefined;
    return {
        size: () => size,
        add: chunk => {
            if (room === undefined) {
                parts.push(chunk);
            }
            else {
                chunk.copy(room, size);
            }
            size += chunk.length;
        },
        allocate: bytes => {
            room = Buffer.allocUnsafeSlow(bytes);
            let offset = 0;
            for (const part of parts) {
                offset += part.copy(room, offset);
            }
            parts = [];
        },
        take: () => room?.subarray(0, size) ?? Buffer.concat(parts),
    };
};
