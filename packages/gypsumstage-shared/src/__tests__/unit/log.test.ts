import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { test } from "node:test";
import { createLog } from "../../createLog.js";
import { createLogRateLimiter } from "../../createLogRateLimiter.js";
import { createLogSink } from "../../createLogSink.js";

test("entries of a frequent event are limited and counted, and do not suppress a rare event", () => {
    let nowMs = 0;
    const admitEntry = createLogRateLimiter(() => nowMs);
    const written = Array.from({ length: 100 }, () => admitEntry("refused")).filter(each =>
        each !== undefined
    );
    assert.equal(written.length, 40);
    assert.equal(admitEntry("store-lost"), 0);
    nowMs = 1_000;
    assert.equal(admitEntry("refused"), 60);
});

test("entries are JSON lines with the name of the event", () => {
    const lines: string[] = [];
    const output = new Writable({
        write: (chunk: Buffer, _encoding, done) => {
            lines.push(chunk.toString());
            done();
        },
    });
    createLog({ role: "entry" }, "info", createLogSink(output))("info", "started", { port: 1 });
    const { timestamp, ...entry } = JSON.parse(lines[0] ?? "{}") as Record<string, unknown>;
    assert.equal(typeof timestamp, "string");
    assert.deepEqual(entry, { role: "entry", level: "info", message: "started", event: "started", port: 1 });
});

test("entries are dropped and counted instead of buffered without bound while the output is blocked", () => {
    const blockedOutput = new Writable({ highWaterMark: 1, write: () => undefined });
    const sink = createLogSink(blockedOutput);
    const line = "x".repeat(10_000);
    for (let written = 0; written < 100; written++) {
        sink.stream.write(line);
    }
    assert.ok(blockedOutput.writableLength < 300_000);
    assert.ok(sink.takeDroppedCount() > 60);
});
