import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { DeliveryTracker } from "./DeliveryTracker.js";

interface ConnectionState {
    /** Requests whose responses the operating system has not taken to their last byte. */
    undelivered: number;
    /** Bytes received up to the end of the last response. */
    bytesBefore: number;
}

/**
 * Makes a server that closes leave the connections alone on which a response is being delivered: Node.js counts a connection as idle
 * as soon as the response was handed over, and destroys it with the bytes that wait for a slow reader. A connection is closed
 * after its last response once the server no longer listens.
 *
 * @param server - the server, to which no connection has been made yet; its `closeIdleConnections` is replaced
 * @returns the tracker of responses that are being delivered
 */
export const trackDeliveries = (server: Server): DeliveryTracker => {
    const connections = new Map<Socket, ConnectionState>();
    const isIdle = (socket: Socket, { undelivered, bytesBefore }: ConnectionState): boolean =>
        undelivered === 0 && socket.bytesRead === bytesBefore;
    server.on("connection", (socket: Socket) => {
        connections.set(socket, { undelivered: 0, bytesBefore: 0 });
        socket.once("close", () => connections.delete(socket));
    });
    server.prependListener("request", ({ socket }, res) => {
        const state = connections.get(socket);
        if (state === undefined) {
            return;
        }
        state.undelivered += 1;
        res.once("close", () => {
            state.undelivered -= 1;
            state.bytesBefore = socket.bytesRead;
            if (!server.listening && state.undelivered === 0) {
                socket.end();
            }
        });
    });
    server.closeIdleConnections = () =>
        [...connections].filter(([socket, state]) => isIdle(socket, state)).forEach(([socket]) =>
            socket.destroy()
        );
    return {
        resetUndelivered: () => {
            for (const [socket] of [...connections].filter(([, state]) => state.undelivered > 0)) {
                // Alone, the first call would wait until the reader has taken everything.
                socket.resetAndDestroy();
                socket.destroy();
            }
        },
    };
};
