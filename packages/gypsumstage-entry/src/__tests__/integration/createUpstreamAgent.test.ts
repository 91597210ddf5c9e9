import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { createUpstreamAgent } from "../../attempt/createUpstreamAgent.js";

const REFUSAL =
    "HTTP/1.1 503 Service Unavailable\r\ngypsumstage-refused: overload\r\ncontent-length: 0\r\n\r\n";
const SUCCESS = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const REQUESTS = 6;

/** Starts an endpoint that refuses the first request of each connection, and writes the refusal again when the next one arrives. */
const startFaultyEndpoint = async (
    t: TestContext,
    responses: readonly [string, string],
): Promise<{ readonly origin: string; readonly countConnections: () => number; }> => {
    let connections = 0;
    const server = createServer(socket => {
        connections += 1;
        let requests = 0;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            requests += 1;
            socket.write(requests === 1 ? responses[0] : responses[1]);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    return {
        origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        countConnections: () => connections,
    };
};

const send = async (t: TestContext, origin: string): Promise<readonly number[]> => {
    const agent = createUpstreamAgent(undefined);
    t.after(() => agent.destroy());
    const statuses: number[] = [];
    for (let sent = 0; sent < REQUESTS; sent++) {
        const res = await agent.request({ origin, path: "/", method: "POST", body: "x" });
        await res.body.dump();
        statuses.push(res.statusCode);
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    return statuses;
};

test("a refusal that an endpoint writes again is not taken for the response to the next request", async t => {
    const { origin, countConnections } = await startFaultyEndpoint(t, [REFUSAL, REFUSAL + SUCCESS]);
    await send(t, origin);
    assert.equal(countConnections(), REQUESTS);
});

test("a connection is used again after a response that is no refusal", async t => {
    const { origin, countConnections } = await startFaultyEndpoint(t, [SUCCESS, SUCCESS]);
    assert.deepEqual(await send(t, origin), Array.from({ length: REQUESTS }, () => 200));
    assert.equal(countConnections(), 1);
});
