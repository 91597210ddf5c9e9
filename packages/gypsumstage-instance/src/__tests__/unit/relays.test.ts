import { createEndpoint } from "@gypsumstage/steering/__tests__/unit/traffic/createEndpoint";
import assert from "node:assert/strict";
import { test } from "node:test";
import { classifyRelayOutcome } from "../../relay/classifyRelayOutcome.js";
import { readRelayedRequest } from "../../relay/readRelayedRequest.js";
import { toRelayHeaders } from "../../relay/toRelayHeaders.js";
import { createAttemptSet } from "../../request/createAttemptSet.js";
import { createServeEventHandler } from "../../request/createServeEventHandler.js";
import type { FinishedAttempt } from "../../request/FinishedAttempt.js";
import type { Reply } from "../../request/Reply.js";
import type { RequestContext } from "../../request/RequestContext.js";
import type { AttemptOutcome } from "../../upstream/AttemptOutcome.js";
import { createTestContext } from "./createTestContext.js";

const BODY = Buffer.from("body");
const REPLIES: readonly Reply[] = [
    { kind: "relayed", status: 500, headers: { "response-stamp": "s" }, body: BODY, isEndStated: true },
    { kind: "refused", reason: "no-room", retryAfterMs: 340 },
    { kind: "refused", reason: "over-cap", retryAfterMs: 1_200, status: 429 },
    { kind: "failed", reason: "deadline", isTimeout: true },
    { kind: "failed", reason: "ECONNRESET: läuft nicht", isTimeout: false },
    { kind: "rejected", reason: "no-route", status: 404 },
];

const toOutcome = (reply: Reply): AttemptOutcome => {
    const status = reply.kind === "relayed" || reply.kind === "rejected"
        ? reply.status
        : reply.kind === "failed" && reply.isTimeout
        ? 504
        : reply.kind === "refused"
        ? reply.status ?? 503
        : 502;
    const headers = reply.kind === "relayed" ? reply.headers : {};
    return {
        kind: "answered",
        status,
        headers: { ...headers, ...toRelayHeaders(reply) },
        body: BODY,
        isEndStated: true,
        isFirstOnConnection: true,
    };
};

test("a reply is the same after it was passed back by another instance", () => {
    for (const reply of REPLIES) {
        const expected = "reason" in reply ? { ...reply, reason: reply.reason.replace("ä", "?") } : reply;
        assert.deepEqual(classifyRelayOutcome(toOutcome(reply)).reply, expected);
    }
});

test("a request counts as not run only when the other instance says so or nothing was sent to it", () => {
    const classify = (outcome: AttemptOutcome): string => classifyRelayOutcome(outcome).classification.kind;
    assert.equal(classify({ kind: "not-sent", reason: "r", isPortClosed: true }), "not-run");
    assert.equal(classify({ kind: "broken", reason: "r" }), "unknown");
    assert.equal(classify({ kind: "aborted", wasSent: true }), "unknown");
    assert.equal(
        classify({
            kind: "answered",
            status: 503,
            headers: {},
            body: BODY,
            isEndStated: true,
            isFirstOnConnection: true,
        }),
        "unknown",
    );
    const refused = classifyRelayOutcome(
        toOutcome({ kind: "refused", reason: "no-endpoint", retryAfterMs: 1 }),
    );
    assert.deepEqual(refused, {
        classification: { kind: "not-run", reason: "no-endpoint" },
        wasSent: false,
    });
});

test("what another instance decided is read only when it is complete", () => {
    const headers = {
        "gypsumstage-policy-version": "7",
        "gypsumstage-service": "desk",
        "gypsumstage-attempts-left": "2",
    };
    assert.deepEqual(readRelayedRequest(headers), { policyVersion: 7, service: "desk", attemptsLeft: 2 });
    assert.equal(readRelayedRequest({ ...headers, "gypsumstage-key-digest": "d-1" })?.keyDigest, "d-1");
    assert.equal(readRelayedRequest({ ...headers, "gypsumstage-attempts-left": "none" }), undefined);
});

interface StartedRelay {
    readonly name: string;
    readonly attemptsLeft: number;
    readonly finish: (
        reply: FinishedAttempt["reply"],
        classification: FinishedAttempt["classification"],
    ) => void;
}

/** A request of an instance that is cut off from its service, and what is passed on. */
const startCutOff = (relayed: boolean, hasContact = false): {
    readonly attempts: ReturnType<typeof createAttemptSet>;
    readonly started: readonly StartedRelay[];
    readonly handle: ReturnType<typeof createServeEventHandler>;
    readonly sentTo: readonly string[];
} => {
    const { ctx, route, req, sentTo, setEndpoints } = createTestContext({
        deniedForMs: () => 0,
        isNeeded: () => false,
        take: () => Promise.resolve(true),
    });
    setEndpoints([createEndpoint("e1")]);
    const started: StartedRelay[] = [];
    const cutOff = {
        ...ctx,
        reach: { ...ctx.reach, isCut: () => true, hasContact: () => hasContact },
        // The instance that sends a relayed request to an endpoint counts it.
        ...(hasContact ? {} : { usageCaps: { take: () => assert.fail("counted twice") } }),
        relays: {
            choose: (_route, _service, tried) =>
                ["n-1", "n-2"]
                    .filter(name => !tried.has(name))
                    .map(name => ({ name, address: `${name}:1` }))[0],
            start: (_req, _service, relay, attemptsLeft) => {
                let finish: StartedRelay["finish"] = () => undefined;
                const endpointId = `instance/${relay.name}`;
                const finished = new Promise<FinishedAttempt>(resolve => {
                    finish = (reply, classification) =>
                        resolve({
                            endpointId,
                            classification,
                            outcome: { kind: "broken", reason: "r" },
                            wasSent: classification.kind !== "not-run",
                            ...(reply === undefined ? {} : { reply }),
                        });
                });
                started.push({ name: relay.name, attemptsLeft, finish });
                return { endpointId, finished, abort: () => undefined };
            },
        },
    } as RequestContext;
    const unsafe = { ...route, kind: "unsafe", maxAttempts: 2 } as typeof route;
    const deadlineAtMs = Number.POSITIVE_INFINITY;
    const decided = { policyVersion: 1, service: "desk", attemptsLeft: 2 };
    const request = { ...req, relayed: relayed ? decided : undefined };
    const attempts = createAttemptSet(cutOff, request, unsafe, "desk", "17", deadlineAtMs);
    const handle = createServeEventHandler(attempts, unsafe, "desk", deadlineAtMs, ctx.retryBudget);
    return { attempts, started, handle, sentTo };
};

test("a request that another instance may have run is passed on to no third one", async () => {
    const { attempts, started, handle } = startCutOff(false);
    await attempts.startNext();
    started[0]?.finish(undefined, { kind: "unknown", reason: "reset" });
    const [attempt] = await Promise.all(attempts.running());
    assert.ok(attempt);
    assert.deepEqual(await handle({ kind: "finished", attempt }), {
        kind: "failed",
        reason: "reset",
        isTimeout: false,
    });
    assert.equal(started.length, 1);
});

test("a request that another instance did not run is passed on to the next one", async () => {
    const { attempts, started, handle } = startCutOff(false);
    await attempts.startNext();
    started[0]?.finish(undefined, { kind: "not-run", reason: "no-endpoint" });
    const [attempt] = await Promise.all(attempts.running());
    assert.ok(attempt);
    assert.equal(await handle({ kind: "finished", attempt }), undefined);
    assert.deepEqual(started.map(({ name, attemptsLeft }) => ({ name, attemptsLeft })), [
        { name: "n-1", attemptsLeft: 2 },
        { name: "n-2", attemptsLeft: 2 },
    ]);
});

test("a request that was passed on once is not passed on again", async () => {
    const { attempts, started } = startCutOff(true);
    assert.equal((await attempts.startNext()).kind, "no-endpoint");
    assert.equal(started.length, 0);
});

test("an instance that can open no connection, like all others, goes on with those that still work", async () => {
    const working = startCutOff(true, true);
    assert.equal((await working.attempts.startNext()).kind, "placed");
    assert.equal(working.sentTo.length, 1);
    const silent = startCutOff(true, false);
    assert.equal((await silent.attempts.startNext()).kind, "no-endpoint");
    assert.equal(silent.sentTo.length, 0);
});
