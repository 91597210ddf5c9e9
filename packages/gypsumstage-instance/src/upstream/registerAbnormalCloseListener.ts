import type { EventEmitter } from "node:events";

/**
 * Detects that a connection failed or was reset instead of being closed properly. A reset may appear as an ordinary
 * end of the stream; only a connection that was closed properly still has a remote address at that moment.
 *
 * @param socket - the connection's socket
 * @param onAbnormalClose - called on an error or a reset, possibly twice
 */
export const registerAbnormalCloseListener = (
    socket: EventEmitter & { readonly remoteAddress?: string | undefined; },
    onAbnormalClose: () => void,
): void => {
    socket.once("error", onAbnormalClose);
    socket.once("end", () => {
        if (socket.remoteAddress === undefined) {
            onAbnormalClose();
        }
    });
};
