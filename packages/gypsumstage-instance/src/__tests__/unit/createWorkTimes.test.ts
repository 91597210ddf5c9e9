import assert from "node:assert/strict";
import { test } from "node:test";
import { createWorkTimes } from "../../upstream/createWorkTimes.js";

test("two kinds of work in one service: each is expected to take its own time, the queue that of both", () => {
    const times = createWorkTimes();
    assert.deepEqual([times.typicalMs("board", 1_500), times.meanMs("board")], [600, undefined]);
    for (let request = 0; request < 300; request++) {
        times.record("board", 1_500, 650 + request % 20);
        times.record("board", 2_500, 1_000 + request % 20);
    }
    const [short, long, mean] = [
        times.typicalMs("board", 1_500),
        times.typicalMs("board", 2_500),
        times.meanMs("board"),
    ];
    assert.ok(short > 600 && short < 720, String(short));
    assert.ok(long > 930 && long < 1_100, String(long));
    assert.ok(mean !== undefined && mean > 780 && mean < 880, String(mean));
});
