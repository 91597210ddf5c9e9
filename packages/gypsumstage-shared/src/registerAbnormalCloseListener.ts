import type { EventEmitter } from "node:events";

/** The parts of a socket that tell how it was closed. */
interface ClosingSocket extends EventEmitter {
    readonly remoteAddress?: string | undefined;
    /** Bytes that wait to be written. */
    readonly writableLength?: number;
}

/**
 * Detects that a connection failed or was reset instead of being closed properly. A reset may appear as an ordinary
 * end of the stream; only a connection that was closed properly still has a remote address at that moment. An end while
 * bytes wait to be written counts too: the peer reads no more, and a reset may have been used up by the pending write.
 *
 * @param socket - the connection's socket
 * @param onAbnormalClose - called on an error or a reset, possibly twice
 */
export const registerAbnormalCloseListener = (
    socket: ClosingSocket,
    onAbnormalClose: () => void,
): void => {
    socket.once("error", onAbnormalClose);
    socket.once("end", () => {
        if (socket.remoteAddress === undefined || (socket.writableLength ?? 0) > 0) {
            onAbnormalClose();
        }
    });
};
