import assert from "node:assert/strict";
import { test } from "node:test";
import { findStoreAge } from "../../../traffic/findStoreAge.js";
import type { PeerState } from "../../../traffic/PeerState.js";

const peer = (storeAgeMs: number | undefined, heardAtMs: number): PeerState =>
    ({ report: { storeAgeMs }, receivedAtMs: heardAtMs, heardAtMs }) as PeerState;

test("the most recent read counts, and the time since a peer's report is added to its age", () => {
    assert.equal(findStoreAge(undefined, [], 1_000), undefined);
    assert.equal(findStoreAge(undefined, [peer(undefined, 900)], 1_000), undefined);
    assert.equal(findStoreAge(300, [peer(100, 500)], 1_000), 300);
    assert.equal(findStoreAge(undefined, [peer(100, 500), peer(900, 990)], 1_000), 600);
});
