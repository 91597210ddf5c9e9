import assert from "node:assert/strict";
import { test } from "node:test";
import { findStoreAge } from "../../../traffic/findStoreAge.js";
import type { PeerState } from "../../../traffic/PeerState.js";

const peer = (storeAgeMs: number | undefined, heardAt: number): PeerState =>
    ({ report: { storeAgeMs }, heardAt }) as PeerState;

test("the freshest knowledge counts, and a peer's grows older after its report", () => {
    assert.equal(findStoreAge(undefined, [], 1_000), undefined);
    assert.equal(findStoreAge(undefined, [peer(undefined, 900)], 1_000), undefined);
    assert.equal(findStoreAge(300, [peer(100, 500)], 1_000), 300);
    assert.equal(findStoreAge(undefined, [peer(100, 500), peer(900, 990)], 1_000), 600);
});
