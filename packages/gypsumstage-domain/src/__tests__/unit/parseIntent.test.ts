import { parseIni } from "@gypsumstage/shared/parseIni";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { formatIntent } from "../../formatIntent.js";
import type { IntentSections } from "../../IntentSections.js";
import { mergeIntents } from "../../mergeIntents.js";
import { parseIntent } from "../../parseIntent.js";

const loadExample = (name: string): IntentSections =>
    parseIni(
        readFileSync(
            fileURLToPath(new URL(`../../../../../examples/${name}/intent.ini`, import.meta.url)),
            "utf8",
        ),
    );

const findProblems = (overrides: IntentSections): readonly string[] => {
    const res = parseIntent({ ...loadExample("demo"), ...overrides });
    return res.ok
        ? []
        : res.error.problems.map(each =>
            `[${each.section}] ${each.key}: found ${each.found}, allowed: ${each.allowed}`
        );
};

test("the example intents are valid and unchanged after formatting and parsing", () => {
    for (const name of ["demo", "board", "cooperative"]) {
        const parsed = parseIntent(loadExample(name));
        assert.ok(parsed.ok);
        const reparsed = parseIntent(formatIntent(parsed.value));
        assert.ok(reparsed.ok);
        assert.deepEqual(reparsed.value, parsed.value);
    }
});

test("weights and addresses are rejected with the reason", () => {
    const cls = { ...loadExample("demo")["class slot-check"], weight: "3", address: "10.0.0.1:80" };
    assert.deepEqual(findProblems({ "class slot-check": cls }), [
        "[class slot-check] weight: found 3, allowed: no weights: declare targets and caps, the system chooses",
        "[class slot-check] address: found 10.0.0.1:80, allowed: no addresses: the platform's list names instances and upstreams",
    ]);
});

test("an intent that cannot be met is rejected with all of its problems", () => {
    assert.deepEqual(
        findProblems({
            "link kutch>bharuch": { cap: "100kB/s" },
            "link kutch>pune": { cap: "1MB/s" },
            "cap slot-check@kutch": { inFlight: "1" },
            "class odd": { ...loadExample("demo")["class slot-check"], path: "/odd", latencyTarget: "9" },
        }),
        [
            "[class odd] latencyTarget: found 9, allowed: a duration such as 150ms",
            "[link kutch>bharuch] cap: found 100000 B/s, allowed: at least the floors of its places, 200000 B/s",
            "[link kutch>pune] : found pune, allowed: a link between kutch, bharuch",
            "[cap slot-check@kutch] inFlight: found 1, allowed: at least one for each place, 2",
        ],
    );
});

test("changes of two operators to different keys are merged without losing either", () => {
    const base = loadExample("demo");
    const theirs = { ...base, "link kutch>bharuch": { cap: "200Mbit/s" } };
    const yours = { ...base, "cap slot-check@kutch": { inFlight: "9" } };
    const merged = mergeIntents(base, theirs, yours);
    assert.deepEqual(merged.ok && merged.value, { ...theirs, "cap slot-check@kutch": { inFlight: "9" } });
});

test("changes of two operators to the same key or to a removed section are reported as a conflict", () => {
    const base = loadExample("demo");
    const theirs = { ...base, "link kutch>bharuch": { cap: "200Mbit/s" } };
    const yours = { ...base, "link kutch>bharuch": { cap: "100Mbit/s" } };
    assert.deepEqual(mergeIntents(base, theirs, yours), {
        ok: false,
        error: {
            theirs: [{ section: "link kutch>bharuch", key: "cap", from: "280Mbit/s", to: "200Mbit/s" }],
            yours: [{ section: "link kutch>bharuch", key: "cap", from: "280Mbit/s", to: "100Mbit/s" }],
        },
    });
    const { "link kutch>bharuch": removed, ...without } = base;
    assert.ok(removed);
    assert.equal(mergeIntents(base, without, yours).ok, false);
});
