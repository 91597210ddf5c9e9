import assert from "node:assert/strict";
import { test } from "node:test";
import { selectForwardedHeaders } from "../../read/selectForwardedHeaders.js";

test("hop-by-hop fields and forged gypsumstage fields are not forwarded", () => {
    const forwarded = selectForwardedHeaders({
        "connection": "close, X-Private",
        "x-private": "1",
        "transfer-encoding": "chunked",
        "gypsumstage-key-checked": "yes",
        "gypsumstage-hop": "kutch/forged",
        "content-type": "text/plain",
        "set-cookie": ["a=1", "b=2"],
    });
    assert.deepEqual(forwarded, { "content-type": "text/plain", "set-cookie": ["a=1", "b=2"] });
});
