import { createEndpoint } from "@gypsumstage/steering/__tests__/unit/traffic/createEndpoint";
import type { EndpointLoad } from "@gypsumstage/steering/traffic/EndpointLoad";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createAttemptSet } from "../../request/createAttemptSet.js";
import { listPlacementCandidates } from "../../request/listPlacementCandidates.js";
import { startAttempt } from "../../request/startAttempt.js";
import { createTestContext } from "./createTestContext.js";

const endpoints = Array.from(
    { length: 20 },
    (_, index) =>
        createEndpoint(`e-${index}`, {
            address: `e-${index}`,
            region: index < 16 ? "kutch" : "goa",
            slots: 4,
        }),
);
const FULL: EndpointLoad = { running: 4, waiting: 12, slots: 4, slowness: 1 };
const FREE: EndpointLoad = { running: 0, waiting: 0, slots: 4, slowness: 1 };

const createContext = (): ReturnType<typeof createTestContext> => {
    const context = createTestContext({
        isNeeded: () => false,
        deniedForMs: () => 0,
        take: () => Promise.resolve(true),
    });
    context.setEndpoints(endpoints);
    const metrics = { ...context.ctx.metrics, countPlacement: () => undefined };
    return { ...context, ctx: { ...context.ctx, choosesByStatedLoad: () => true, metrics } };
};

const listIds = (
    { ctx, route }: ReturnType<typeof createTestContext>,
    isForObject: boolean,
    isFurther: boolean,
): readonly string[] =>
    listPlacementCandidates(ctx, route, "desk", "17", isForObject, new Set())
        .filter(candidate => "isFurther" in candidate && candidate.isFurther === isFurther)
        .map(({ id }) => id);

test("an object has two usual candidates on its side and one on the other; few further ones keep its data elsewhere", () => {
    const context = createContext();
    assert.equal(listIds(context, true, false).length, 3);
    assert.equal(listIds(context, true, true).length, 6);
});

test("a request without an object chooses among all endpoints of its region; those of others are not its first choice", () => {
    const context = createContext();
    assert.equal(listIds(context, false, false).length, 16);
    assert.equal(listIds(context, false, true).length, 3);
});

test("a request whose usual candidates say that they are full is sent to another endpoint in place of a refusal", async () => {
    const { ctx, req, route, sentTo } = createContext();
    const usual = listIds({ ctx, route } as ReturnType<typeof createTestContext>, true, false);
    endpoints.forEach(({ id }) => ctx.tracker.loads.observe(id, usual.includes(id) ? FULL : FREE));
    const started = await createAttemptSet(ctx, req, route, "desk", "17", Infinity).startNext();
    assert.equal(started.kind, "placed");
    assert.deepEqual(sentTo.map(id => usual.includes(id)), [false]);
});

test("requests without an object leave out the endpoints that say that they are full", async () => {
    const { ctx, req, route, sentTo } = createContext();
    endpoints.forEach(({ id }, index) => ctx.tracker.loads.observe(id, index < 8 ? FULL : FREE));
    for (let sent = 0; sent < 16; sent++) {
        const keyless = { ...req, objectKey: undefined };
        await createAttemptSet(ctx, keyless, route, "desk", String(sent), Infinity).startNext();
    }
    assert.ok(sentTo.every(id => Number(id.slice(2)) >= 8), sentTo.join());
    assert.ok(new Set(sentTo).size > 3, sentTo.join());
});

test("a full region gives requests without an object to another one, but not beyond the allowed shift", async () => {
    for (const isShiftAllowed of [true, false]) {
        const { ctx, req, route, sentTo } = createContext();
        endpoints.forEach(({ id, region }) =>
            ctx.tracker.loads.observe(id, region === "kutch" ? FULL : FREE)
        );
        const allows = (region: string): boolean => region === "kutch" || isShiftAllowed;
        const limited = { ...ctx, regionShiftLimiter: { ...ctx.regionShiftLimiter, allows } };
        const keyless = { ...req, objectKey: undefined };
        const started = await createAttemptSet(limited, keyless, route, "desk", "1", Infinity).startNext();
        assert.equal(started.kind, isShiftAllowed ? "placed" : "no-room");
        assert.equal(sentTo.length, isShiftAllowed ? 1 : 0);
    }
});

test("a long request does not make its endpoint look slow where that states that it is not", async () => {
    const { ctx, req, setOutcome } = createContext();
    const headerCodec = { ...ctx.headerCodec, readLoad: () => FREE };
    setOutcome({
        kind: "answered",
        status: 200,
        headers: {},
        body: Buffer.alloc(0),
        isEndStated: true,
        isFirstOnConnection: false,
    });
    const [endpoint] = endpoints;
    assert.ok(endpoint);
    ctx.tracker.trackRequest(endpoint.id, "17");
    // A target of 0.01 ms makes any response take many times the typical latency.
    const attempt = startAttempt({ ...ctx, headerCodec }, req, endpoint, "17", Infinity, 0.01);
    await attempt.finished;
    assert.equal(ctx.tracker.health(endpoint.id).slowness, 1);
});
