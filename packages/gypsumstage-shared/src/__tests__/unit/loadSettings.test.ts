import assert from "node:assert/strict";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { fileURLToPath } from "node:url";
import { instanceSettingsSchema } from "../../instanceSettingsSchema.js";
import { loadSettings } from "../../loadSettings.js";

const examples = fileURLToPath(new URL("../../../../../examples/", import.meta.url));
const directory = mkdtempSync(join(tmpdir(), "gypsumstage-settings-"));
after(() => rmSync(directory, { recursive: true }));

const sample = readFileSync(join(examples, "board/kutch-a-1.ini"), "utf8");

const findProblems = (text: string): readonly string[] => {
    const file = join(directory, "instance.ini");
    writeFileSync(file, text);
    const res = loadSettings(file, instanceSettingsSchema);
    return res.ok || res.error.kind !== "settings-invalid" ? [] : res.error.problems;
};

test("all example settings are valid", () => {
    for (const user of ["board", "cooperative"]) {
        const files = readdirSync(join(examples, user)).filter(name => /-\d+\.ini$/.test(name));
        assert.equal(files.length, 8);
        for (const file of files) {
            const res = loadSettings(join(examples, user, file), instanceSettingsSchema);
            assert.ok(res.ok, `${file}: ${JSON.stringify(res)}`);
        }
    }
});

test("unknown sections and keys, missing and invalid values are reported with section, key and what is allowed", () => {
    assert.deepEqual(
        findProblems(
            sample.replace("level = info", "level = loud\ncolour = red").replace(
                "peer = 10.20.1.1:8081\n",
                "",
            ),
        ),
        [
            "[entry] peer: found nothing, allowed: IP:port",
            "[log] level: found \"loud\", allowed: debug, info, warn or error",
            "[log] colour: unknown key",
        ],
    );
    assert.deepEqual(findProblems(`${sample}\n[weights]\na = 1\n`), ["[weights]: unknown section"]);
});

test("settings with the same address for two roles or instances are rejected", () => {
    assert.deepEqual(findProblems(sample.replace("address = 10.20.1.1:8053", "address = 10.20.1.1:8080")), [
        "[lookup] address: found \"10.20.1.1:8080\", allowed: an address of its own; [entry] address has this one",
    ]);
    assert.equal(findProblems(sample.replace("steer = 10.20.1.2:8090", "steer = 10.20.1.1:8090")).length, 1);
});

test("an unreadable file is reported as such, not as invalid settings", () => {
    const res = loadSettings(join(directory, "missing.ini"), instanceSettingsSchema);
    assert.equal(!res.ok && res.error.kind, "file-unreadable");
});
