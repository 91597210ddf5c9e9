import { createEndpoint } from "@gypsumstage/steering/__tests__/unit/traffic/createEndpoint";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestFingerprint } from "../../request/RequestFingerprint.js";
import { createSuspectRequests } from "../../suspects/createSuspectRequests.js";
import type { SuspectRequests } from "../../suspects/SuspectRequests.js";

const FATAL: RequestFingerprint = { headHash: 1, digest: "fatal" };
const SAME_PATH: RequestFingerprint = { headHash: 1, digest: "same-path" };
const OTHER: RequestFingerprint = { headHash: 2, digest: "other" };
const LONG_AGO_MS = 100_000;

const create = (isProber = false): SuspectRequests => createSuspectRequests(() => isProber, () => undefined);

const breakAt = (suspects: SuspectRequests, fingerprint: RequestFingerprint, ids: readonly string[]): void =>
    ids.forEach(id => suspects.recordBroken(createEndpoint(id), fingerprint));

const end = (suspects: SuspectRequests, ids: readonly string[]): void =>
    ids.forEach(id => suspects.recordEnd(createEndpoint(id)));

/** A notice of three ends that lie so far back that the request may be probed. */
const createOldNotice = (): object => ({
    digest: FATAL.digest,
    headHash: FATAL.headHash,
    ended: ["a", "b", "c"].map(run => [run, LONG_AGO_MS]),
});

test("a request under which three endpoints ended is refused, with the time until it is probed; others are not", () => {
    const suspects = create();
    breakAt(suspects, FATAL, ["e-1", "e-2", "e-3"]);
    assert.equal(suspects.judge(FATAL, false).kind, "allowed");
    end(suspects, ["e-1", "e-2", "e-3"]);
    const verdict = suspects.judge(FATAL, false);
    assert.ok(verdict.kind === "refused" && verdict.retryAfterMs > 0 && verdict.retryAfterMs <= 60_000);
    assert.equal(suspects.judge(SAME_PATH, false).kind, "allowed");
    assert.equal(suspects.judge(OTHER, false).kind, "allowed");
});

test("a connection that breaks at an endpoint which still runs counts for nothing", () => {
    const suspects = create();
    for (const id of ["e-1", "e-2", "e-3", "e-4"]) {
        breakAt(suspects, FATAL, [id]);
        suspects.recordAlive(createEndpoint(id));
        end(suspects, [id]);
    }
    assert.equal(suspects.isSuspect(FATAL), false);
});

test("the end of a later run of an endpoint is not attributed to a request of an earlier one", () => {
    const suspects = create();
    breakAt(suspects, FATAL, ["e-1"]);
    suspects.recordEnd(createEndpoint("e-1", { startedAt: 2 }));
    assert.equal(suspects.isSuspect(FATAL), false);
});

test("a request is not retried while three endpoints may have ended under it, but its repeats are not refused for that", () => {
    const suspects = create();
    breakAt(suspects, FATAL, ["e-1", "e-2", "e-3"]);
    assert.equal(suspects.judge(FATAL, true).kind, "refused");
    assert.equal(suspects.judge(FATAL, false).kind, "allowed");
});

test("a success clears a request, also of ends that are noticed after it", () => {
    const suspects = create();
    breakAt(suspects, FATAL, ["e-1", "e-2"]);
    end(suspects, ["e-1", "e-2"]);
    breakAt(suspects, FATAL, ["e-3"]);
    suspects.recordSuccess(FATAL);
    end(suspects, ["e-3"]);
    assert.equal(suspects.judge(FATAL, false).kind, "allowed");
});

test("what one instance noticed counts at another one, and is passed on once", () => {
    const first = create();
    const second = create();
    breakAt(first, FATAL, ["e-1", "e-2", "e-3"]);
    end(first, ["e-1", "e-2", "e-3"]);
    const notice = JSON.parse(JSON.stringify(first.topic.read(FATAL.digest))) as unknown;
    assert.equal(second.topic.merge(notice), FATAL.digest);
    assert.equal(second.topic.merge(notice), undefined);
    assert.equal(second.judge(FATAL, false).kind, "refused");
});

test("after the time of refusal one instance probes the request once, the others go on refusing it", () => {
    const prober = create(true);
    const other = create(false);
    [prober, other].forEach(suspects => suspects.topic.merge(createOldNotice()));
    assert.equal(other.judge(FATAL, false).kind, "refused");
    assert.equal(prober.judge(FATAL, false).kind, "allowed");
    assert.equal(prober.judge(FATAL, false).kind, "refused");
});

test("a probe that ends an endpoint prolongs the refusal; one that succeeds ends it, here and at other instances", () => {
    const failing = create(true);
    failing.topic.merge(createOldNotice());
    failing.judge(FATAL, false);
    breakAt(failing, FATAL, ["e-4"]);
    end(failing, ["e-4"]);
    const verdict = failing.judge(FATAL, false);
    assert.ok(verdict.kind === "refused" && verdict.retryAfterMs > 60_000);
    const succeeding = create(true);
    const other = create();
    [succeeding, other].forEach(suspects => suspects.topic.merge(createOldNotice()));
    succeeding.judge(FATAL, false);
    succeeding.recordSuccess(FATAL);
    assert.equal(succeeding.judge(FATAL, false).kind, "allowed");
    assert.equal(other.topic.merge(succeeding.topic.read(FATAL.digest)), FATAL.digest);
    assert.equal(other.judge(FATAL, false).kind, "allowed");
});

test("malformed notices are ignored", () => {
    const suspects = create();
    assert.equal(suspects.topic.merge({ digest: "x" }), undefined);
    assert.equal(suspects.topic.merge({ digest: "x", headHash: 1, ended: [["e", "now"]] }), undefined);
    assert.equal(suspects.size(), 0);
});

test("a single end is preliminary; a second one is for all instances, and so is the success that clears both", () => {
    const suspects = create();
    breakAt(suspects, FATAL, ["e-1", "e-2"]);
    end(suspects, ["e-1"]);
    assert.equal(suspects.topic.isPreliminary(FATAL.digest), true);
    end(suspects, ["e-2"]);
    assert.equal(suspects.topic.isPreliminary(FATAL.digest), false);
    suspects.recordSuccess(FATAL);
    assert.equal(suspects.topic.isPreliminary(FATAL.digest), false);
});
