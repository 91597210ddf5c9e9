import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { createEndpoint } from "@gypsumstage/steering/__tests__/unit/traffic/createEndpoint";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestPermits } from "../../permits/RequestPermits.js";
import type { UsageDecision } from "../../quota/UsageDecision.js";
import type { AttemptSet } from "../../request/AttemptSet.js";
import { createAttemptSet } from "../../request/createAttemptSet.js";
import { startAttempt } from "../../request/startAttempt.js";
import { createTestContext } from "./createTestContext.js";

const TIMEOUT_MS = 2_000;
const FIRST = createEndpoint("d-1", { address: "first" });
const SECOND = createEndpoint("d-2", { address: "second" });

const createSet = ({ ctx, req, route }: ReturnType<typeof createTestContext>): AttemptSet =>
    createAttemptSet(ctx, req, route, "desk", "17", monotonicNow() + TIMEOUT_MS);

/** Permits that are granted after `onTake` has been called. */
const grantAfter = (onTake: () => void): RequestPermits => ({
    isNeeded: () => true,
    deniedForMs: () => 0,
    take: async () => {
        onTake();
        return Promise.resolve(true);
    },
});

test("a request whose endpoint leaves while it waits for the permit is sent to another one", async () => {
    const context = createTestContext(grantAfter(() => context.setEndpoints([SECOND])));
    context.setEndpoints([FIRST]);
    const started = await createSet(context).startNext();
    assert.deepEqual(context.sentTo, ["second"]);
    assert.equal(started.kind === "placed" && started.id, SECOND.id);
});

test("a request whose caller leaves while it waits for the permit is not sent", async () => {
    const context = createTestContext(grantAfter(() => attempts.abort()));
    context.setEndpoints([FIRST]);
    const attempts = createSet(context);
    assert.equal((await attempts.startNext()).kind, "abandoned");
    assert.deepEqual(context.sentTo, []);
});

test("a request without a permit at any endpoint is refused until the first one may be there", async () => {
    const deniedMs = new Map([[FIRST.id, 900], [SECOND.id, 300]]);
    const context = createTestContext({
        isNeeded: () => true,
        deniedForMs: endpoint => deniedMs.get(endpoint.id) ?? 0,
        take: () => Promise.resolve(false),
    });
    context.setEndpoints([FIRST, SECOND]);
    assert.deepEqual(await createSet(context).startNext(), { kind: "rate-limited", retryAfterMs: 300 });
});

test("a limit is withdrawn by a response to a request that ran, not by a refusal that states none", async () => {
    const context = createTestContext(grantAfter(() => undefined));
    const { ctx, req } = context;
    context.setEndpoints([FIRST]);
    const respond = async (status: number, headers: Readonly<Record<string, string>>): Promise<void> => {
        context.setOutcome({
            kind: "answered",
            status,
            headers,
            body: Buffer.alloc(0),
            isEndStated: true,
            isFirstOnConnection: true,
        });
        await startAttempt(ctx, req, FIRST, "17", monotonicNow() + TIMEOUT_MS, TIMEOUT_MS).finished;
    };
    await respond(503, { limit: "3" });
    assert.equal(ctx.rateLimits.ratePerSecond(FIRST), 3);
    await respond(503, {});
    assert.equal(ctx.rateLimits.ratePerSecond(FIRST), 3);
    await respond(200, {});
    assert.equal(ctx.rateLimits.ratePerSecond(FIRST), undefined);
});

test("a request whose key is revoked while it waits for the permit, or before a retry, hedge or relay, is not sent", async () => {
    const reply = { kind: "refused", reason: "key-unconfirmed", retryAfterMs: 500 } as const;
    let isRevoked = false;
    const context = createTestContext(grantAfter(() => isRevoked = true));
    Object.assign(context.ctx.keys, { findRefusal: () => isRevoked ? reply : undefined });
    context.setEndpoints([FIRST, SECOND]);
    const attempts = createSet(context);
    assert.deepEqual(await attempts.startNext(), { kind: "key-refused", reply });
    Object.assign(context.ctx.permits, { isNeeded: () => false });
    attempts.startHedge();
    Object.assign(context.ctx.reach, { isCut: () => true });
    Object.assign(context.ctx.relays, { choose: () => ({ name: "n-1", address: "n-1:1" }) });
    assert.deepEqual(await attempts.startNext(), { kind: "key-refused", reply });
    attempts.startHedge();
    assert.deepEqual(context.sentTo, []);
    assert.equal(attempts.running().length, 0);
});

test("an attempt over the usage cap is not sent, and a permit of one that did not reach its endpoint is returned", async () => {
    const context = createTestContext(grantAfter(() => undefined));
    context.setEndpoints([FIRST]);
    let refunds = 0;
    let isExceeded = true;
    const usageCaps = {
        take: (): UsageDecision =>
            isExceeded
                ? { kind: "exceeded", retryAfterMs: 700 }
                : { kind: "granted", refund: () => refunds += 1 },
    };
    const attempts = createSet({ ...context, ctx: { ...context.ctx, usageCaps } });
    assert.deepEqual(await attempts.startNext(), { kind: "over-cap", retryAfterMs: 700 });
    await attempts.startHedge();
    assert.deepEqual(context.sentTo, []);
    isExceeded = false;
    context.setOutcome({ kind: "not-sent", reason: "ECONNREFUSED", isPortClosed: false });
    assert.equal((await attempts.startNext()).kind, "placed");
    assert.equal(refunds, 0);
    attempts.recordFinished(await (attempts.running()[0] ?? assert.fail("nothing is running")));
    assert.equal(refunds, 1);
    assert.equal((await attempts.startNext()).kind, "no-endpoint");
    assert.equal(refunds, 2);
});
