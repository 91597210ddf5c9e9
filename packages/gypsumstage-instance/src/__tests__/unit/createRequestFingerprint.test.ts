import assert from "node:assert/strict";
import { test } from "node:test";
import { createRequestFingerprint } from "../../request/createRequestFingerprint.js";
import type { UpstreamRequest } from "../../upstream/UpstreamRequest.js";

const BODY_BYTES = 1_000_000;
const BODY = Buffer.alloc(BODY_BYTES, "a");
const REQ: UpstreamRequest = {
    method: "POST",
    path: "/check/1?page=2",
    headers: { "host": "desk.example", "attempt-id": "a-1", "deadline-ms": "2000" },
    body: BODY,
};
const digestOf = (overrides: Partial<UpstreamRequest>): string =>
    createRequestFingerprint({ ...REQ, ...overrides }).digest;

test("the repeats of a request have the same fingerprint, although their identifiers and deadlines differ", () => {
    const headers = { ...REQ.headers, "attempt-id": "a-2", "deadline-ms": "900" };
    assert.equal(digestOf({ headers }), digestOf({}));
    assert.equal(
        createRequestFingerprint({ ...REQ, headers }).headHash,
        createRequestFingerprint(REQ).headHash,
    );
});

test("requests with another method, host, path, caller or body have other fingerprints", () => {
    const changedBody = Buffer.from(BODY);
    changedBody[BODY_BYTES - 1] = 0;
    const others = [
        digestOf({ method: "PUT" }),
        digestOf({ headers: { ...REQ.headers, host: "ledger.example" } }),
        digestOf({ path: "/check/1?page=3" }),
        digestOf({ headers: { ...REQ.headers, authorization: "other" } }),
        digestOf({ headers: { ...REQ.headers, cookie: "other" } }),
        digestOf({ body: changedBody }),
        digestOf({ body: undefined }),
    ];
    assert.equal(new Set([digestOf({}), ...others]).size, others.length + 1);
});
