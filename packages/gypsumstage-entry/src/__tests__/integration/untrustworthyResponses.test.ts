/**
 * Guards against responses that must not reach a caller as complete ones: a part of a response without a length whose connection was reset
 * or closed while the upload was still being sent, and one whose status is not from 100 to 599.
 */
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { createUpstreamAgent } from "../../attempt/createUpstreamAgent.js";

const CHUNK = Buffer.alloc(65_536, "u");
const UPLOAD_CHUNKS = 256;
const ROUNDS = 8;
const PART = `HTTP/1.1 200 OK\r\n\r\n${"x".repeat(20_000)}`;
const SLOW_UPLOAD_PAUSE_MS = 5;

/** Starts an endpoint that acts as soon as the head of a request is there. */
const startEndpoint = async (
    t: TestContext,
    respond: (socket: Socket) => void,
): Promise<{ readonly origin: string; }> => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.once("data", () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return { origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
};

const createUpload = async function*(pauseMs: number): AsyncGenerator<Buffer> {
    for (let sent = 0; sent < UPLOAD_CHUNKS; sent++) {
        yield CHUNK;
        if (pauseMs > 0) {
            await new Promise(resolve => setTimeout(resolve, pauseMs));
        }
    }
};

/** Sends an upload and returns the status and whether the body came to its end; rejects when the request fails before a response. */
const upload = async (t: TestContext, origin: string, pauseMs: number): Promise<string> => {
    const agent = createUpstreamAgent(undefined);
    t.after(() => agent.destroy());
    const body = createUpload(pauseMs) as unknown as Buffer;
    try {
        const res = await agent.request({ origin, path: "/", method: "POST", body });
        const text = await res.body.text();
        return `${res.statusCode}, ${text.length} bytes`;
    }
    catch {
        return "failed";
    }
    finally {
        await agent.destroy();
    }
};

const ends: Readonly<Record<string, (socket: Socket) => void>> = {
    "resets the connection and reads nothing": socket => {
        socket.pause();
        socket.write(PART);
        setTimeout(() => socket.resetAndDestroy(), 30);
    },
    "resets the connection while it reads": socket => {
        socket.resume();
        socket.write(PART);
        setTimeout(() => socket.resetAndDestroy(), 30);
    },
    "closes the connection without reading what is there": socket => {
        socket.pause();
        socket.write(PART, () => socket.destroy());
    },
    "closes the connection while it reads": socket => {
        socket.resume();
        socket.write(PART, () => socket.destroy());
    },
    "ends its response, reads nothing more and resets later": socket => {
        socket.pause();
        socket.end(PART);
        setTimeout(() => socket.resetAndDestroy(), 30);
    },
};

for (const [name, end] of Object.entries(ends)) {
    for (const pauseMs of [0, SLOW_UPLOAD_PAUSE_MS]) {
        test(`a part of a response is no whole one when the endpoint responds to ${pauseMs === 0 ? "a fast" : "a slow"} upload early and ${name}`, async t => {
            const { origin } = await startEndpoint(t, end);
            for (let round = 0; round < ROUNDS; round++) {
                assert.equal(await upload(t, origin, pauseMs), "failed");
            }
        });
    }
}

test("a response without a length to a request without a body is complete when the connection was closed, not when it was reset", async t => {
    const closing = await startEndpoint(t, socket => socket.end(PART));
    const resetting = await startEndpoint(t, socket => {
        socket.write(PART);
        setTimeout(() => socket.resetAndDestroy(), 30);
    });
    const agent = createUpstreamAgent(undefined);
    t.after(() => agent.destroy());
    const closed = await agent.request({ origin: closing.origin, path: "/", method: "GET" });
    assert.equal((await closed.body.text()).length, 20_000);
    const reset = await agent.request({ origin: resetting.origin, path: "/", method: "GET" });
    await assert.rejects(reset.body.text());
});

for (const status of ["000", "099", "600", "999"]) {
    for (const framing of ["content-length: 4", "connection: close"]) {
        test(`a response with status ${status} and "${framing}" is none`, async t => {
            const { origin } = await startEndpoint(t, socket => {
                socket.end(`HTTP/1.1 ${status} Odd\r\n${framing}\r\n\r\ndone`);
            });
            const agent = createUpstreamAgent(undefined);
            t.after(() => agent.destroy());
            await assert.rejects(agent.request({ origin, path: "/", method: "GET" }));
        });
    }
}
