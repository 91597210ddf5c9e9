import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createHttpPlatform } from "../../createHttpPlatform.js";

/** Longer than the time for which idle connections are kept, and shorter than the server would keep them. */
const IDLE_MS = 1_600;

test("a call is not sent on a connection that was idle for long, which may have gone silent", async t => {
    let connections = 0;
    const server = createServer((...[, res]) => res.end("[]"));
    server.on("connection", () => connections += 1);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    const platform = createHttpPlatform(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    t.after(platform.close);
    await platform.list("a");
    await sleep(IDLE_MS);
    assert.equal((await platform.list("a")).ok, true);
    assert.equal(connections, 2);
});
