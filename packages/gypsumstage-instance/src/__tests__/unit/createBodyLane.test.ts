import assert from "node:assert/strict";
import { test } from "node:test";
import { createBodyLane } from "../../request/createBodyLane.js";

const never = new Promise<void>(() => undefined);
const WAIT = { maxMs: 60_000, cancelled: never };

test("a body waits until others have freed enough memory, and later ones wait behind it", async () => {
    const lane = createBodyLane(100);
    const first = await lane.reserve(80, WAIT);
    const order: string[] = [];
    const second = lane.reserve(60, WAIT).then(each => {
        order.push("second");
        return each;
    });
    const third = lane.reserve(10, WAIT).then(() => order.push("third"));
    assert.equal(lane.usedBytes(), 80);
    first?.release();
    await Promise.all([second, third]);
    assert.deepEqual(order, ["second", "third"]);
    assert.equal(lane.usedBytes(), 70);
});

test("a body is refused at once when as much as the lane holds is waiting already", async () => {
    const lane = createBodyLane(100);
    await lane.reserve(100, WAIT);
    void lane.reserve(60, WAIT);
    assert.equal(await lane.reserve(60, WAIT), undefined);
});

test("a body that waits in vain, or whose caller leaves, frees its place for those behind it", async () => {
    const lane = createBodyLane(100);
    const first = await lane.reserve(50, WAIT);
    const late = lane.reserve(60, { maxMs: 10, cancelled: never });
    const left = lane.reserve(40, { maxMs: 60_000, cancelled: Promise.resolve() });
    assert.deepEqual(await Promise.all([late, left]), [undefined, undefined]);
    assert.notEqual(await lane.reserve(50, WAIT), undefined);
    first?.release();
    first?.release();
    assert.equal(lane.usedBytes(), 50);
});

test("a body that turns out smaller than the memory reserved for it leaves the rest to others", async () => {
    const lane = createBodyLane(100);
    const first = await lane.reserve(100, WAIT);
    const second = lane.reserve(60, WAIT);
    first?.shrink(40);
    assert.notEqual(await second, undefined);
    first?.shrink(90);
    assert.equal(lane.usedBytes(), 100);
    first?.release();
    assert.equal(lane.usedBytes(), 60);
});

test("a body larger than the lane is read alone", async () => {
    const lane = createBodyLane(0);
    const first = await lane.reserve(10, WAIT);
    assert.notEqual(first, undefined);
    const second = lane.reserve(10, WAIT);
    assert.equal(await lane.reserve(10, WAIT), undefined);
    first?.release();
    assert.notEqual(await second, undefined);
});

test("a reservation grows as long as there is room, and holds nothing before", () => {
    const lane = createBodyLane(100);
    const [first, second] = [lane.open(), lane.open()];
    assert.equal(first.grow(80), true);
    assert.equal(second.grow(30), false);
    assert.equal(lane.usedBytes(), 80);
    first.release();
    assert.equal(second.grow(30), true);
});
