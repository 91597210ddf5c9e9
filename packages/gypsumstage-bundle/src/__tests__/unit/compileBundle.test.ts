import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, test } from "node:test";
import { compileBundle } from "../../compileBundle.js";
import { getCodeCachePath } from "../../getCodeCachePath.js";
import { writeCodeCache } from "../../writeCodeCache.js";

const SOURCE = `#!/usr/bin/env node
const { sep } = require("node:path");
const greet = name => "hello " + name + sep;
globalThis.greeted = (globalThis.greeted ?? 0) + greet("x").length;
`;
const GREETING_LENGTH = "hello x/".length;

const globals = globalThis as { greeted?: number; };

let directory = "";
let bundlePath = "";

beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), "gypsumstage-bundle-"));
    bundlePath = join(directory, "program.cjs");
    writeFileSync(bundlePath, SOURCE);
    globals.greeted = 0;
});

afterEach(() => rmSync(directory, { recursive: true }));

test("a bundle runs from the code cache that an earlier run wrote", async () => {
    await writeCodeCache(bundlePath, async () => {});
    const compiled = compileBundle(bundlePath);
    assert.equal(compiled.isCacheUsed, true);
    compiled.run();
    assert.equal(globals.greeted, 2 * GREETING_LENGTH);
});

test("a bundle without a code cache is compiled from source and runs", () => {
    const compiled = compileBundle(bundlePath);
    assert.equal(compiled.isCacheUsed, false);
    compiled.run();
    assert.equal(globals.greeted, GREETING_LENGTH);
});

test("a bundle whose code cache belongs to another source rejects the cache and runs", async () => {
    await writeCodeCache(bundlePath, async () => {});
    writeFileSync(bundlePath, `${SOURCE}globalThis.greeted += 1;`);
    const compiled = compileBundle(bundlePath);
    assert.equal(compiled.isCacheUsed, false);
    globals.greeted = 0;
    compiled.run();
    assert.equal(globals.greeted, GREETING_LENGTH + 1);
});

test("a failed assertion of a bundled package does not make Node.js read and parse the bundle", () => {
    writeFileSync(bundlePath, "const assert = require(\"node:assert\");\nassert(globalThis.greeted > 1);\n");
    assert.throws(() => compileBundle(bundlePath).run(), (err: Error) => !err.message.includes("greeted"));
});

test("a bundle whose code cache is damaged rejects the cache and runs", () => {
    // A source that no other test compiles: V8 caches compiled sources within a process.
    writeFileSync(bundlePath, `${SOURCE}globalThis.greeted += 2;`);
    writeFileSync(getCodeCachePath(bundlePath), "damaged");
    const compiled = compileBundle(bundlePath);
    assert.equal(compiled.isCacheUsed, false);
    compiled.run();
    assert.equal(globals.greeted, GREETING_LENGTH + 2);
});
