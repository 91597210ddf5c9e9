import assert from "node:assert/strict";
import { test } from "node:test";
import { addPlacements } from "../../../traffic/addPlacements.js";
import { isRegionShiftAllowed } from "../../../traffic/isRegionShiftAllowed.js";
import type { RegionCounts } from "../../../traffic/RegionCounts.js";

const MAX_SHIFT = 0.12;
const WINDOW_MS = 2_000;

test("an abrupt shift of load to another region is limited to the bound in each window", () => {
    let counts: RegionCounts = { buckets: new Map() };
    const shares: number[] = [];
    for (let window = 0; window < 8; window++) {
        let far = 0;
        for (let sent = 0; sent < 200; sent++) {
            const nowMs = window * WINDOW_MS + sent * 10;
            const isShifted = window >= 2;
            const region = isShifted && isRegionShiftAllowed(counts, "far", nowMs, MAX_SHIFT)
                ? "far"
                : "near";
            far += region === "far" ? 1 : 0;
            counts = addPlacements(counts, region, nowMs, 1);
        }
        shares.push(far / 200);
    }
    for (const [index, share] of shares.entries()) {
        assert.ok(share - (shares[index - 1] ?? 0) <= MAX_SHIFT + 0.03, shares.join(" "));
    }
    assert.ok((shares.at(-1) ?? 0) > 0.3, shares.join(" "));
});

test("a request is allowed in a region whose share does not grow", () => {
    let counts: RegionCounts = { buckets: new Map() };
    for (let nowMs = 0; nowMs < 2 * WINDOW_MS; nowMs += 10) {
        counts = addPlacements(counts, "near", nowMs, 1);
    }
    assert.equal(isRegionShiftAllowed(counts, "near", 2 * WINDOW_MS, MAX_SHIFT), true);
});
