import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout } from "node:timers/promises";
import type { AdmissionQueue } from "../../admission/AdmissionQueue.js";
import { createAdmissionQueue } from "../../admission/createAdmissionQueue.js";
import type { QueuedRequest } from "../../admission/QueuedRequest.js";
import { createStopSchedule } from "../../createStopSchedule.js";
import type { AttemptStart } from "../../request/AttemptStart.js";
import type { StopSchedule } from "../../StopSchedule.js";

const NEVER = new Promise<never>(() => undefined);
const TARGET_MS = 1_000;
const TIMEOUT_MS = 5_000;

/** A queue before one endpoint whose slots the test frees. */
interface TestQueue {
    readonly queue: AdmissionQueue;
    readonly stopSchedule: StopSchedule;
    /** Names of the requests in the order in which they started. */
    readonly started: string[];
    /** Results of the waits that ended. */
    readonly results: string[];
    readonly freeSlots: (count: number) => Promise<void>;
    readonly start: (name: string, fields?: Partial<QueuedRequest>) => Promise<AttemptStart>;
}

const createTestQueue = (): TestQueue => {
    const stopSchedule = createStopSchedule();
    const started: string[] = [];
    const results: string[] = [];
    let free = 0;
    const queue = createAdmissionQueue({
        rule: () => ({ mostUrgent: 1 }),
        workMs: () => 100,
        stopSchedule,
        onEnd: result => results.push(result),
    });
    const start = (name: string, fields: Partial<QueuedRequest> = {}): Promise<AttemptStart> => {
        let isAborted = false;
        return queue.start({
            priority: 1,
            workspace: undefined,
            arrivedAtMs: monotonicNow(),
            targetAtMs: monotonicNow() + TARGET_MS,
            deadlineAtMs: monotonicNow() + TIMEOUT_MS,
            tryStart: () => {
                if (isAborted || free === 0) {
                    return Promise.resolve(
                        isAborted ? { kind: "abandoned" } : { kind: "no-room", retryAfterMs: 1 },
                    );
                }
                free -= 1;
                started.push(name);
                return Promise.resolve({ kind: "placed", id: "e1", expectedMs: 100 });
            },
            mayHaveRoom: () => true,
            abort: () => {
                isAborted = true;
            },
            callerDisconnect: NEVER,
            ...fields,
        });
    };
    return {
        queue,
        stopSchedule,
        started,
        results,
        freeSlots: async count => {
            free += count;
            queue.wake();
            await setTimeout(5);
        },
        start,
    };
};

test("slots go to the most urgent of the waiting requests, and the others still wait", async () => {
    const { queue, started, freeSlots, start } = createTestQueue();
    void start("less urgent", { priority: 2 });
    await setTimeout(1);
    const urgent = start("urgent");
    await freeSlots(1);
    assert.deepEqual(started, ["urgent"]);
    assert.equal((await urgent).kind, "placed");
    assert.equal(queue.length(), 1);
    await freeSlots(1);
    assert.deepEqual(started, ["urgent", "less urgent"]);
});

test("a request that arrives while a more urgent one waits does not take its slot", async () => {
    const { started, freeSlots, start } = createTestQueue();
    void start("urgent");
    await setTimeout(1);
    const later = start("less urgent", { priority: 2 });
    await freeSlots(1);
    assert.deepEqual(started, ["urgent"]);
    await freeSlots(1);
    assert.equal((await later).kind, "placed");
});

test("a workspace with many waiting requests gets every other slot beside one with few", async () => {
    const { started, freeSlots, start } = createTestQueue();
    ["a1", "a2", "a3"].forEach(name => void start(name, { workspace: "a" }));
    ["b1", "b2"].forEach(name => void start(name, { workspace: "b" }));
    await freeSlots(4);
    assert.deepEqual(started.map(name => name[0]), ["a", "b", "a", "b"]);
});

test("slots that other instances free are found without an attempt of this one ending", async () => {
    const { queue, start, freeSlots } = createTestQueue();
    let isFree = false;
    const waiting = start("one", {
        tryStart: () =>
            Promise.resolve(
                isFree
                    ? { kind: "placed", id: "e1", expectedMs: 1 }
                    : { kind: "no-room", retryAfterMs: 1 },
            ),
    });
    await freeSlots(0);
    isFree = true;
    assert.equal((await waiting).kind, "placed");
    assert.equal(queue.length(), 0);
});

test("a request whose caller leaves is not started, also while it waits for a permit", async () => {
    const { queue, started, results, freeSlots, start } = createTestQueue();
    let leave = (): void => undefined;
    const callerDisconnect = new Promise<void>(resolve => {
        leave = resolve;
    });
    const waiting = start("one", { callerDisconnect });
    await setTimeout(1);
    leave();
    assert.equal((await waiting).kind, "abandoned");
    await freeSlots(1);
    assert.deepEqual(started, []);
    assert.deepEqual(results, ["abandoned"]);
    assert.equal(queue.length(), 0);
});

test("waiting requests are refused when the instance stops, and nothing starts afterwards", async () => {
    const { started, stopSchedule, freeSlots, start } = createTestQueue();
    const waiting = start("one");
    await setTimeout(1);
    stopSchedule.end();
    assert.equal((await waiting).kind, "leaving");
    await freeSlots(1);
    assert.deepEqual(started, []);
});

test("a request is refused before its deadline, once a response by then is impossible", async () => {
    const { results, start } = createTestQueue();
    const deadlineAtMs = monotonicNow() + 250;
    const reply = await start("one", { deadlineAtMs });
    assert.equal(reply.kind, "queue-late");
    assert.ok(monotonicNow() < deadlineAtMs);
    assert.deepEqual(results, ["queue-late"]);
});

test("a slot that becomes free while requests are being tried goes to the first in order", async () => {
    const { started, freeSlots, start } = createTestQueue();
    void start("urgent");
    await setTimeout(1);
    void start("less urgent", { priority: 2 });
    // The pass that tries both has begun.
    await freeSlots(1);
    assert.deepEqual(started, ["urgent"]);
});

test("an error in the start of a request ends that request and no other", async () => {
    const { queue, started, freeSlots, start } = createTestQueue();
    void start("other", { priority: 2 });
    await setTimeout(1);
    await assert.rejects(start("failing", { tryStart: () => Promise.reject(new Error("fault")) }), /fault/u);
    assert.equal(queue.length(), 1);
    await freeSlots(1);
    assert.deepEqual(started, ["other"]);
});

test("a slow permit for one request does not hold up the others", async () => {
    const { started, freeSlots, start } = createTestQueue();
    void start("blocked", { tryStart: () => NEVER });
    void start("waiting", { tryStart: () => Promise.resolve({ kind: "no-room", retryAfterMs: 1 }) });
    void start("third", { priority: 2 });
    await freeSlots(1);
    assert.deepEqual(started, ["third"]);
});
