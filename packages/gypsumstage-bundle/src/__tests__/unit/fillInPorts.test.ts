import assert from "node:assert/strict";
import { test } from "node:test";
import { fillInPorts } from "../../fillInPorts.js";

test("each address with port 0 gets a distinct port, and an address with a port is left unchanged", async () => {
    const { text, ports } = await fillInPorts("a = 127.0.0.1:0\nb = 127.0.0.1:0\nc = 127.0.0.1:80");
    assert.equal(new Set(ports).size, 2);
    assert.equal(text, `a = 127.0.0.1:${ports[0]}\nb = 127.0.0.1:${ports[1]}\nc = 127.0.0.1:80`);
});
