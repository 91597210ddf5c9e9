import assert from "node:assert/strict";
import { test } from "node:test";
import { createRequestFingerprint } from "../../request/createRequestFingerprint.js";
import { createBrokenAttempts } from "../../suspects/createBrokenAttempts.js";

test("a broken attempt keeps the hashes of its request, not what they are computed from, such as a long body", () => {
    const req = { method: "POST", path: "/check/1", headers: { host: "desk" }, body: Buffer.from("a") };
    const fingerprint = createRequestFingerprint(req);
    const { digest, headHash } = fingerprint;
    const brokenAttempts = createBrokenAttempts();
    brokenAttempts.add("e-1", fingerprint, false);
    const [attempt] = brokenAttempts.take("e-1");
    assert.notEqual(attempt?.fingerprint, fingerprint);
    assert.deepEqual(attempt?.fingerprint, { headHash, digest });
});

test("attempts of a request are forgotten when it was run successfully, those of others are not", () => {
    const brokenAttempts = createBrokenAttempts();
    const [first, second] = [{ headHash: 1, digest: "a" }, { headHash: 1, digest: "b" }] as const;
    brokenAttempts.add("e-1", first, false);
    brokenAttempts.add("e-1", second, false);
    brokenAttempts.add("e-2", first, false);
    assert.equal(brokenAttempts.countRuns(first), 2);
    brokenAttempts.forget(first);
    assert.equal(brokenAttempts.countRuns(first), 0);
    assert.equal(brokenAttempts.countRuns(second), 1);
});

test("an attempt that was given up is forgotten when its endpoint responds to a later request, not to an earlier one", () => {
    const brokenAttempts = createBrokenAttempts();
    const fingerprint = { headHash: 1, digest: "a" };
    brokenAttempts.add("e-1", fingerprint, true);
    brokenAttempts.add("e-2", fingerprint, false);
    assert.equal(brokenAttempts.countRuns(fingerprint), 1);
    brokenAttempts.forgetSilent("e-1", 0);
    assert.equal(brokenAttempts.takeSilent("e-1").length, 1);
    brokenAttempts.add("e-1", fingerprint, true);
    brokenAttempts.forgetSilent("e-1", Infinity);
    brokenAttempts.forgetSilent("e-2", Infinity);
    assert.equal(brokenAttempts.takeSilent("e-1").length, 0);
    assert.equal(brokenAttempts.take("e-2").length, 1);
});
