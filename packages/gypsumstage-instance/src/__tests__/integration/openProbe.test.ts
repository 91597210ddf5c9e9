import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { openProbe } from "../../reach/openProbe.js";
import { createUpstreamConnector } from "../../upstream/createUpstreamConnector.js";

const TIMEOUT_MS = 2_000;

test("a probe of a closed port fails, and one of an open port succeeds, with the connector of the instance", async () => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const connector = createUpstreamConnector();
    assert.equal(await openProbe(connector, address, TIMEOUT_MS), true);
    await new Promise(resolve => server.close(resolve));
    assert.equal(await openProbe(connector, address, TIMEOUT_MS), false);
});

test("a probe that gets no answer fails after its timeout", async () => {
    assert.equal(await openProbe(() => undefined, "127.0.0.1:1", 20), false);
});
