import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, test } from "node:test";
import { compileBundle } from "../../compileBundle.js";
import { nameCodeCache } from "../../nameCodeCache.js";
import { writeCodeCache } from "../../writeCodeCache.js";

const SOURCE = `#!/usr/bin/env node
const { sep } = require("node:path");
const greet = name => "hello " + name + sep;
globalThis.greeted = (globalThis.greeted ?? 0) + greet("x").length;
`;
const GREETED = "hello x/".length;

const shared = globalThis as { greeted?: number; };

let directory = "";
let bundle = "";

beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), "gypsumstage-bundle-"));
    bundle = join(directory, "program.cjs");
    writeFileSync(bundle, SOURCE);
    shared.greeted = 0;
});

afterEach(() => rmSync(directory, { recursive: true }));

test("a bundle runs from the code that an earlier run left", async () => {
    await writeCodeCache(bundle, async () => {});
    const compiled = compileBundle(bundle);
    assert.equal(compiled.isCacheUsed, true);
    compiled.run();
    assert.equal(shared.greeted, 2 * GREETED);
});

test("a bundle without a cache runs", () => {
    const compiled = compileBundle(bundle);
    assert.equal(compiled.isCacheUsed, false);
    compiled.run();
    assert.equal(shared.greeted, GREETED);
});

test("a bundle whose cache belongs to another source runs", async () => {
    await writeCodeCache(bundle, async () => {});
    writeFileSync(bundle, `${SOURCE}globalThis.greeted += 1;`);
    const compiled = compileBundle(bundle);
    assert.equal(compiled.isCacheUsed, false);
    shared.greeted = 0;
    compiled.run();
    assert.equal(shared.greeted, GREETED + 1);
});

test("a bundle whose cache is damaged runs", () => {
    // A source of its own: V8 remembers within a process what it compiled before.
    writeFileSync(bundle, `${SOURCE}globalThis.greeted += 2;`);
    writeFileSync(nameCodeCache(bundle), "damaged");
    const compiled = compileBundle(bundle);
    assert.equal(compiled.isCacheUsed, false);
    compiled.run();
    assert.equal(shared.greeted, GREETED + 2);
});
