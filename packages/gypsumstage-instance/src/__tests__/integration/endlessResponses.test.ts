import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { after, test } from "node:test";
import type { AttemptOutcome } from "../../upstream/AttemptOutcome.js";
import { createResponseMemory } from "../../upstream/createResponseMemory.js";
import { createUpstreamConnector } from "../../upstream/createUpstreamConnector.js";
import { createUpstreamPool } from "../../upstream/createUpstreamPool.js";
import type { UpstreamPool } from "../../upstream/UpstreamPool.js";

/** As in an instance. */
const RESPONSE_MEMORY_BYTES = 67_108_864;
const teardowns: (() => void)[] = [];
after(() => teardowns.forEach(teardown => teardown()));

/** A test fails after this time, because an attempt without an end never settles. */
const TEST_TIMEOUT_MS = 30_000;
const ENDLESS_RESPONSES = 12;
/** Limit of one response body, 16 MiB, and what sockets and parser may hold beside it. */
const MAX_RECEIVED_BYTES = 16_777_216 + 8_388_608;
/** Limit of all responses together, 64 MiB, and the memory of the test itself. */
const MAX_MEMORY_GROWTH_BYTES = 67_108_864 + 100_000_000;

const get = { method: "GET", path: "/a", headers: { host: "desk.example" }, body: undefined };

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

interface EndlessEndpoint {
    readonly address: string;
    /** Bytes written on all connections. */
    readonly writtenBytes: () => number;
    /** Returns whether the peer has closed all connections. */
    readonly isClosed: () => boolean;
}

const startEndlessEndpoint = async (start: string, piece: string): Promise<EndlessEndpoint> => {
    let writtenBytes = 0;
    const sockets = new Set<Socket>();
    const repeated = Buffer.from(piece.repeat(Math.ceil(16_384 / piece.length)));
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
    teardowns.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return { address, writtenBytes: () => writtenBytes, isClosed: () => sockets.size === 0 };
};

const startQuickEndpoint = async (): Promise<string> => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    teardowns.push(() => void server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const assertBroken = async (
    endpoint: EndlessEndpoint,
    outcome: Promise<AttemptOutcome>,
): Promise<void> => {
    assert.equal((await outcome).kind, "broken");
    while (!endpoint.isClosed()) {
        await sleep(10);
    }
    assert.ok(endpoint.writtenBytes() < MAX_RECEIVED_BYTES, `received ${endpoint.writtenBytes()} bytes`);
};

const HEAD = "HTTP/1.1 200 OK\r\n";
const ENDLESS_PARTS = [
    ["header fields", HEAD, "x-filler: 1\r\n"],
    ["one header field", `${HEAD}x-filler: `, "a"],
    ["a status line", "HTTP/1.1 200 ", "a"],
    ["empty lines before the status line", "", "\r\n"],
    ["interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"],
    ["a body that ends with its connection", `${HEAD}connection: close\r\n\r\n`, "a"],
    [
        "a body in chunks",
        `${HEAD}transfer-encoding: chunked\r\n\r\n`,
        "4000\r\n" + "a".repeat(16_384) + "\r\n",
    ],
    ["a body in chunks of one byte", `${HEAD}transfer-encoding: chunked\r\n\r\n`, "1\r\na\r\n"],
    ["a chunk extension", `${HEAD}transfer-encoding: chunked\r\n\r\n1;a=`, "a"],
    ["trailers", `${HEAD}transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n`, "x-filler: 1\r\n"],
] as const;

for (const [part, start, piece] of ENDLESS_PARTS) {
    test(`a response without end in ${part} breaks the attempt after a bounded number of bytes`, {
        timeout: TEST_TIMEOUT_MS,
    }, async () => {
        const pool = createUpstreamPool(
            createUpstreamConnector(),
            createResponseMemory(RESPONSE_MEMORY_BYTES),
        );
        const endpoint = await startEndlessEndpoint(start, piece);
        await assertBroken(endpoint, pool.send(endpoint.address, get).outcome);
        await pool.close();
    });
}

const sendQuickRequests = async (
    pool: UpstreamPool,
    address: string,
    isOver: () => boolean,
): Promise<number> => {
    let answered = 0;
    while (!isOver()) {
        const outcome = await pool.send(address, get).outcome;
        assert.equal(outcome.kind, "answered");
        answered += 1;
        await sleep(5);
    }
    return answered;
};

test(
    "many endless bodies at once take a bounded amount of memory, and requests to other endpoints are answered",
    {
        timeout: TEST_TIMEOUT_MS,
    },
    async () => {
        const pool = createUpstreamPool(
            createUpstreamConnector(),
            createResponseMemory(RESPONSE_MEMORY_BYTES),
        );
        const quick = await startQuickEndpoint();
        const endless = await Promise.all(
            Array.from(
                { length: ENDLESS_RESPONSES },
                () => startEndlessEndpoint(`${HEAD}transfer-encoding: chunked\r\n\r\n`, "1\r\na\r\n"),
            ),
        );
        const usedBefore = process.memoryUsage().rss;
        let peak = 0;
        const sampling = setInterval(() => {
            peak = Math.max(peak, process.memoryUsage().rss - usedBefore);
        }, 20);
        let isOver = false;
        const attempts = Promise.all(endless.map(endpoint => pool.send(endpoint.address, get).outcome));
        const answered = sendQuickRequests(pool, quick, () => isOver);
        const outcomes = await attempts;
        isOver = true;
        clearInterval(sampling);
        assert.ok(outcomes.every(outcome => outcome.kind === "broken"));
        assert.ok(await answered > 0);
        assert.ok(peak < MAX_MEMORY_GROWTH_BYTES, `grew by ${peak} bytes`);
        await pool.close();
    },
);
