import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseReportTargets } from "../../../traffic/chooseReportTargets.js";

const FLEET = 84;
const TICKS_PER_PERIOD = 10;
/** Reports of 1,200 bytes for which the queue of a link of 7 Mbit/s has room, and that it sends within a tick of 100 ms. */
const QUEUE_REPORTS = 40;
const DRAINED_PER_TICK = 60;

const fleet = (size: number): readonly string[] =>
    Array.from({ length: size }, (...[, index]) => `10.0.${index % 7}.${index}:7540`);

test("each instance gets one report a round, and the order goes on where it stopped", () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 50 }), fc.integer({ min: 1, max: 60 }), (size, count) => {
        const addresses = fleet(size);
        const sent: string[] = [];
        while (sent.length < size) {
            sent.push(...chooseReportTargets(addresses, sent.at(-1), Math.min(count, size - sent.length)));
        }
        assert.deepEqual([...sent].sort(), [...addresses].sort());
    }));
});

test("reports to a large fleet fit the queue of a narrow link, so that no instance is left out each time", () => {
    const addresses = fleet(FLEET);
    const perTick = Math.ceil(FLEET / TICKS_PER_PERIOD);
    const received = new Set<string>();
    let queued = 0;
    let last: string | undefined;
    for (let tick = 0; tick < TICKS_PER_PERIOD; tick++) {
        const targets = chooseReportTargets(addresses, last, perTick);
        for (const address of targets.slice(0, QUEUE_REPORTS - queued)) {
            received.add(address);
        }
        queued = Math.max(0, Math.min(QUEUE_REPORTS, queued + targets.length) - DRAINED_PER_TICK);
        last = targets.at(-1);
    }
    assert.equal(received.size, FLEET);
});

test("an instance that left or joined does not change who is next", () => {
    assert.deepEqual(chooseReportTargets(["a", "c", "d"], "b", 2), ["c", "d"]);
    assert.deepEqual(chooseReportTargets(["a", "b", "c"], "c", 2), ["a", "b"]);
    assert.deepEqual(chooseReportTargets([], undefined, 2), []);
});
