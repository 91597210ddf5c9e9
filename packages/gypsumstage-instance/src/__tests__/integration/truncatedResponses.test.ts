import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { after, test } from "node:test";
import type { AttemptOutcome } from "../../upstream/AttemptOutcome.js";
import { createResponseMemory } from "../../upstream/createResponseMemory.js";
import { createUpstreamConnector } from "../../upstream/createUpstreamConnector.js";
import { createUpstreamPool } from "../../upstream/createUpstreamPool.js";

const WHOLE_BODY = "hello";
const HEAD = "HTTP/1.1 200 OK\r\nattempt-id: a\r\nresponse-stamp: s\r\n";
const INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";
const EARLIER = `${HEAD}content-length: 5\r\n\r\n${WHOLE_BODY}`;

const framings: Readonly<Record<string, string>> = {
    "a length": `${HEAD}content-length: 5\r\n\r\n${WHOLE_BODY}`,
    "chunks": `${HEAD}transfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n`,
    "no length": `${HEAD}\r\n${WHOLE_BODY}`,
    "a length after an interim response": `${INTERIM}${HEAD}content-length: 5\r\n\r\n${WHOLE_BODY}`,
};

let respond: (socket: Socket, count: number) => void = () => undefined;
const sockets = new Set<Socket>();
const server = createServer(socket => {
    sockets.add(socket);
    let count = 0;
    socket.on("error", () => socket.destroy());
    socket.on("data", () => {
        count += 1;
        respond(socket, count);
    });
});
await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
after(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
});
const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;

/** Sends a request to an endpoint that writes `bytes` and ends its connection, on a new or on a kept one. */
const send = async (
    method: string,
    bytes: string,
    isReset: boolean,
    isKept: boolean,
): Promise<AttemptOutcome> => {
    const pool = createUpstreamPool(createUpstreamConnector(), createResponseMemory(1_000_000));
    const cut = (socket: Socket): void => {
        socket.write(bytes, () => isReset ? socket.resetAndDestroy() : socket.end());
    };
    respond = (socket, count) => {
        if (isKept && count === 1) {
            socket.write(EARLIER);
            return;
        }
        cut(socket);
    };
    const req = { method, path: "/", headers: { host: "x" }, body: undefined };
    if (isKept) {
        await pool.send(address, { ...req, method: "GET" }).outcome;
    }
    const outcome = await pool.send(address, req).outcome;
    await pool.close();
    return outcome;
};

for (const [name, response] of Object.entries(framings)) {
    const headLength = response.indexOf("\r\n\r\n", response.indexOf(HEAD)) + 4;
    for (const method of ["GET", "POST", "HEAD"]) {
        test(`a response with ${name} to ${method} that ends early never counts as whole, wherever it ends`, async () => {
            for (let length = 0; length < response.length; length++) {
                for (const isReset of [false, true]) {
                    for (const isKept of [false, true]) {
                        const outcome = await send(method, response.slice(0, length), isReset, isKept);
                        const isWhole = outcome.kind === "answered" && outcome.isEndStated
                            && outcome.body.toString() !== WHOLE_BODY;
                        const isWholeHead = method === "HEAD" && length >= headLength;
                        assert.ok(
                            !isWhole || isWholeHead,
                            `${length} bytes, reset ${isReset}, kept ${isKept}`,
                        );
                    }
                }
            }
        });
    }
}
