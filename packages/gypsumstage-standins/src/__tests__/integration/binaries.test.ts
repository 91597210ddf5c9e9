import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";

const ROOT = fileURLToPath(new URL("../../../../../", import.meta.url));
/** First column of the table of binaries. */
const BINARY_ROW = /^\| `(gypsum[a-z-]+)` \|/gm;

test("npx finds every binary that the README lists", async () => {
    const names = [...readFileSync(`${ROOT}README.md`, "utf8").matchAll(BINARY_ROW)].map(row => row[1] ?? "");
    assert.ok(names.includes("gypsumctl"));
    for (const name of names) {
        const { stdout } = await promisify(execFile)("npx", ["--no-install", name, "--version"], {
            cwd: ROOT,
        });
        assert.match(stdout, new RegExp(`^${name}/`));
    }
});
