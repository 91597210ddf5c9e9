import { type AddressInfo, createServer, type Socket } from "node:net";
import type { EndlessServer } from "./EndlessServer.js";

const WRITE_BYTES = 16_384;

/** Writes `piece` again and again, as fast as the peer reads, until the peer closes. */
const writeEndlessly = (socket: Socket, piece: Buffer, onWrite: (bytes: number) => void): void => {
    while (!socket.destroyed && socket.write(piece)) {
        onWrite(piece.length);
    }
    if (!socket.destroyed) {
        onWrite(piece.length);
        socket.once("drain", () => writeEndlessly(socket, piece, onWrite));
    }
};

/**
 * Starts a server that writes a beginning once a request arrives, and then the same piece again and again.
 *
 * @param start - the beginning
 * @param piece - what is repeated
 * @returns the running server; the caller stops it
 */
export const startEndlessServer = async (start: string, piece: string): Promise<EndlessServer> => {
    let writtenBytes = 0;
    const sockets = new Set<Socket>();
    const repeated = Buffer.from(piece.repeat(Math.ceil(WRITE_BYTES / piece.length)));
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        socket.once("data", () => {
            socket.write(start);
            writeEndlessly(socket, repeated, bytes => {
                writtenBytes += bytes;
            });
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        writtenBytes: () => writtenBytes,
        isClosed: () => sockets.size === 0,
        stop: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};
