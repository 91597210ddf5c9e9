import Fastify from "fastify";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import { createRpcClient } from "../../createRpcClient.js";
import { registerRpc } from "../../registerRpc.js";

const teardowns: (() => unknown)[] = [];
after(() => Promise.all(teardowns.map(teardown => teardown())));

const TIMEOUT_MS = 200;

const createClient = (): ReturnType<typeof createRpcClient> => {
    const client = createRpcClient(TIMEOUT_MS);
    teardowns.push(client.close);
    return client;
};

test("a call of an unknown method is refused, not unreachable", async () => {
    const app = Fastify();
    registerRpc(app, {});
    await app.listen({ host: "127.0.0.1", port: 0 });
    teardowns.push(() => app.close());
    const { port } = app.server.address() as AddressInfo;
    const res = await createClient().call(`127.0.0.1:${port}`, "unknown", {});
    assert.equal(!res.ok && res.error.kind, "rpc-refused");
});

test("a call that gets no response in time is unreachable, not refused", async () => {
    const server = createServer(() => undefined);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    teardowns.push(() => {
        server.closeAllConnections();
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    const res = await createClient().call(`127.0.0.1:${port}`, "slow", {});
    assert.equal(!res.ok && res.error.kind, "rpc-unreachable");
});
