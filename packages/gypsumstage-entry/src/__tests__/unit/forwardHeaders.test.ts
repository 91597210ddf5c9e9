import assert from "node:assert/strict";
import { test } from "node:test";
import { forwardHeaders } from "../../read/forwardHeaders.js";

test("fields of one connection and the system's own fields do not travel on", () => {
    const kept = forwardHeaders({
        "connection": "close, X-Private",
        "x-private": "1",
        "transfer-encoding": "chunked",
        "gypsumstage-key-checked": "yes",
        "gypsumstage-hop": "kutch/forged",
        "content-type": "text/plain",
        "set-cookie": ["a=1", "b=2"],
    });
    assert.deepEqual(kept, { "content-type": "text/plain", "set-cookie": ["a=1", "b=2"] });
});
