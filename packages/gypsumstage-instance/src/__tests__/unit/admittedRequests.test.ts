import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { createEndpoint } from "@gypsumstage/steering/__tests__/unit/traffic/createEndpoint";
import { EMPTY_FLEET_VIEW } from "@gypsumstage/steering/traffic/EMPTY_FLEET_VIEW";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout } from "node:timers/promises";
import { createAdmission } from "../../admission/createAdmission.js";
import type { LabelledReply } from "../../request/LabelledReply.js";
import type { RequestContext } from "../../request/RequestContext.js";
import { serveRequest } from "../../request/serveRequest.js";
import type { AttemptOutcome } from "../../upstream/AttemptOutcome.js";
import { createTestContext } from "./createTestContext.js";

const NEVER = new Promise<never>(() => undefined);
const ANSWER: AttemptOutcome = {
    kind: "answered",
    status: 200,
    headers: {},
    body: Buffer.alloc(0),
    isEndStated: true,
    isFirstOnConnection: false,
} as AttemptOutcome;

interface TestService {
    readonly ctx: RequestContext;
    /** Answers the oldest request that an endpoint has. */
    readonly answerNext: (status?: number) => void;
    readonly sentCount: () => number;
    readonly serve: (priority: number, callerDisconnect?: Promise<void>) => Promise<LabelledReply>;
}

/** One endpoint with one slot, at which requests wait from the second on; less urgent ones in the instance. */
const createTestService = (routePriorities: readonly number[], hasWorkspaces = true): TestService => {
    const { ctx: base, req, route, setEndpoints } = createTestContext({
        deniedForMs: () => 0,
        isNeeded: () => false,
        take: () => Promise.resolve(true),
    });
    setEndpoints([createEndpoint("e1", { slots: 1 })]);
    const answers: ((outcome: AttemptOutcome) => void)[] = [];
    let sent = 0;
    const targets = [{ service: "desk", weight: 1 }];
    const policy = {
        routes: routePriorities.map(priority => ({ ...route, priority, targets })),
        workspaces: hasWorkspaces ? [{ priority: undefined }] : [],
    } as unknown as TrafficPolicy;
    const ctx = {
        ...base,
        chooseService: () => "desk",
        retryBudget: { tryTake: () => true, countRequest: () => undefined },
        pool: {
            send: () => {
                sent += 1;
                const outcome = new Promise<AttemptOutcome>(resolve => answers.push(resolve));
                return { outcome, abort: () => undefined };
            },
        },
        admission: createAdmission({
            view: () => ({ ...EMPTY_FLEET_VIEW, policy }),
            workMs: () => 100,
            stopSchedule: base.stopSchedule,
            metrics: { recordQueueWait: () => undefined },
            log: () => undefined,
        }),
    } as unknown as RequestContext;
    return {
        ctx,
        answerNext: (status = 200) => answers.shift()?.({ ...ANSWER, status } as AttemptOutcome),
        sentCount: () => sent,
        serve: (priority, callerDisconnect = NEVER) =>
            serveRequest(
                ctx,
                { ...req, arrivedAtMs: monotonicNow() },
                { ...route, kind: "unsafe", priority, targets, maxAttempts: 2 },
                callerDisconnect,
            ),
    };
};

test("a request without room is sent when an attempt ends, the urgent one first", async () => {
    const { answerNext, sentCount, serve } = createTestService([0, 1]);
    const first = serve(1);
    const second = serve(1);
    await setTimeout(5);
    assert.equal(sentCount(), 2);
    const lessUrgent = serve(1);
    const urgent = serve(0);
    await setTimeout(5);
    assert.equal(sentCount(), 2);
    answerNext();
    assert.equal((await first).reply.kind, "relayed");
    await setTimeout(5);
    assert.equal(sentCount(), 3);
    answerNext();
    await second;
    answerNext();
    assert.equal((await urgent).reply.kind, "relayed");
    await setTimeout(5);
    answerNext();
    assert.equal((await lessUrgent).reply.kind, "relayed");
});

test("requests that wait are neither sent nor forgotten when the caller leaves or the instance ends", async () => {
    const { ctx, answerNext, sentCount, serve } = createTestService([0, 1]);
    void serve(0);
    void serve(0);
    await setTimeout(5);
    let leave = (): void => undefined;
    const left = serve(
        1,
        new Promise(resolve => {
            leave = resolve;
        }),
    );
    const stopped = serve(1);
    await setTimeout(5);
    leave();
    assert.equal((await left).reply.kind, "abandoned");
    ctx.stopSchedule.end();
    const { reply } = await stopped;
    assert.equal(reply.kind === "refused" && reply.reason, "leaving");
    answerNext();
    await setTimeout(40);
    assert.equal(sentCount(), 2);
    assert.deepEqual(ctx.admission.lengths(), { desk: 0 });
});

test("callers whose requests the endpoints refuse return spread over a third of their time", async () => {
    const { answerNext, serve } = createTestService([0, 1]);
    const refused = serve(0);
    await setTimeout(5);
    answerNext(503);
    const { reply } = await refused;
    assert.ok(reply.kind === "refused" && reply.retryAfterMs > 300 && reply.retryAfterMs < 667);
});

test("requests without workspaces are refused at once, as without admission, whatever the priorities of the routes", async () => {
    const { sentCount, serve } = createTestService([1, 2], false);
    [1, 2, 3].forEach(() => void serve(1));
    await setTimeout(5);
    assert.equal(sentCount(), 3);
    const { reply } = await serve(1);
    assert.equal(reply.kind === "refused" && reply.reason, "no-room");
});
