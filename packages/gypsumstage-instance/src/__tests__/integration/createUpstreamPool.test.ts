import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { after, test } from "node:test";
import { createResponseMemory } from "../../upstream/createResponseMemory.js";
import { createUpstreamConnector } from "../../upstream/createUpstreamConnector.js";
import { createUpstreamPool } from "../../upstream/createUpstreamPool.js";

/** As in an instance. */
const RESPONSE_MEMORY_BYTES = 67_108_864;
const teardowns: (() => void)[] = [];
after(() => teardowns.forEach(teardown => teardown()));

const startEndpoint = async (
    respond: (socket: Socket, request: string, connection: number) => void,
): Promise<string> => {
    let connections = 0;
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        connections += 1;
        const connection = connections;
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", bytes => respond(socket, bytes.toString(), connection));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    teardowns.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const get = { method: "GET", path: "/a?b=1", headers: { host: "desk.example" }, body: undefined };

test("a response without a length is complete only when its connection was closed, not reset", async () => {
    const head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf";
    const pool = createUpstreamPool(createUpstreamConnector(), createResponseMemory(RESPONSE_MEMORY_BYTES));
    const closing = await startEndpoint(socket => socket.end(head));
    const resetting = await startEndpoint(socket => {
        socket.write(head);
        setTimeout(() => socket.resetAndDestroy(), 30);
    });
    const closed = await pool.send(closing, get).outcome;
    assert.equal(closed.kind, "answered");
    assert.equal((await pool.send(resetting, get).outcome).kind, "broken");
    await pool.close();
});

test("a response body shorter than its content-length makes the attempt broken", async () => {
    const pool = createUpstreamPool(createUpstreamConnector(), createResponseMemory(RESPONSE_MEMORY_BYTES));
    const address = await startEndpoint(socket =>
        socket.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf")
    );
    assert.equal((await pool.send(address, get).outcome).kind, "broken");
    await pool.close();
});

test("a response that is not HTTP makes the attempt broken", async () => {
    const pool = createUpstreamPool(createUpstreamConnector(), createResponseMemory(RESPONSE_MEMORY_BYTES));
    const address = await startEndpoint(socket => socket.write("%%% not http\r\n\r\n"));
    assert.equal((await pool.send(address, get).outcome).kind, "broken");
    await pool.close();
});

test("a connection is reused, but not after bytes beyond the end of the response", async () => {
    const pool = createUpstreamPool(createUpstreamConnector(), createResponseMemory(RESPONSE_MEMORY_BYTES));
    const seen: number[] = [];
    const address = await startEndpoint((socket, _request, connection) => {
        seen.push(connection);
        const extra = seen.length === 2 ? "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra" : "";
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok${extra}`);
    });
    for (let sent = 0; sent < 3; sent++) {
        const outcome = await pool.send(address, get).outcome;
        assert.equal(outcome.kind === "answered" && outcome.body.toString(), "ok");
        await sleep(30);
    }
    assert.deepEqual(seen, [1, 1, 2]);
    await pool.close();
});

test("an attempt at an address without a listener is reported as not sent", async () => {
    const pool = createUpstreamPool(createUpstreamConnector(), createResponseMemory(RESPONSE_MEMORY_BYTES));
    assert.equal((await pool.send("127.0.0.1:1", get).outcome).kind, "not-sent");
    await pool.close();
});

test("aborting an attempt closes its connection, so that the endpoint can stop processing the request", async () => {
    const pool = createUpstreamPool(createUpstreamConnector(), createResponseMemory(RESPONSE_MEMORY_BYTES));
    let isClosed = false;
    const address = await startEndpoint(socket => {
        socket.once("close", () => {
            isClosed = true;
        });
    });
    const attempt = pool.send(address, get);
    await sleep(50);
    attempt.abort();
    assert.deepEqual(await attempt.outcome, { kind: "aborted", wasSent: true });
    await sleep(50);
    assert.equal(isClosed, true);
    await pool.close();
});

test("after an early response to a large upload, no later request is sent as part of its body", async () => {
    const pool = createUpstreamPool(createUpstreamConnector(), createResponseMemory(RESPONSE_MEMORY_BYTES));
    const body = Buffer.alloc(4_000_000, "b");
    const received = new Map<number, Buffer[]>();
    const address = await startEndpoint((socket, text, connection) => {
        const isFirst = !received.has(connection);
        received.set(connection, [...received.get(connection) ?? [], Buffer.from(text)]);
        if (text.includes("GET /second")) {
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        }
        else if (isFirst) {
            socket.pause();
            socket.write("HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n");
            setTimeout(() => socket.resume(), 100);
        }
    });
    const first = await pool.send(address, { ...get, method: "POST", body }).outcome;
    assert.equal(first.kind, "answered");
    const second = await pool.send(address, { ...get, path: "/second" }).outcome;
    assert.equal(second.kind, "answered");
    await sleep(300);
    for (const chunks of received.values()) {
        const all = Buffer.concat(chunks).toString();
        const bodyStart = all.indexOf("\r\n\r\n") + 4;
        const secondStart = all.indexOf("GET /second");
        const isOnlySecond = secondStart === 0;
        assert.ok(isOnlySecond || secondStart === -1 || secondStart >= bodyStart + body.length);
    }
    await pool.close();
});

test("no request is sent on a connection that its endpoint is closing after the response", async () => {
    const pool = createUpstreamPool(createUpstreamConnector(), createResponseMemory(RESPONSE_MEMORY_BYTES));
    for (const framing of ["connection: close\r\n", "connection: close\r\ncontent-length: 2\r\n"]) {
        const address = await startEndpoint(socket => socket.end(`HTTP/1.1 200 OK\r\n${framing}\r\nok`));
        for (let sent = 0; sent < 20; sent++) {
            assert.equal((await pool.send(address, get).outcome).kind, "answered", `${framing} ${sent}`);
        }
    }
    await pool.close();
});
