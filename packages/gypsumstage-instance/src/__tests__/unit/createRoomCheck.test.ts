import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRoomCheck } from "../../request/createRoomCheck.js";
import type { RequestContext } from "../../request/RequestContext.js";

test("a waiting request is tried again when other instances' or own load falls below what it needs, not before", () => {
    let own = 4;
    let others = 4;
    let choices = 0;
    const ctx = {
        tracker: { inFlightAt: () => own },
        peers: { inFlight: () => others },
    } as unknown as RequestContext;
    const check = createRoomCheck(ctx, candidates => {
        choices += 1;
        return (candidates[0]?.inFlight ?? 0) < 7
            ? { kind: "placed", id: "e1", expectedMs: 1 }
            : { kind: "no-room", retryAfterMs: 1 };
    });
    assert.equal(check.mayHaveRoom(), true);
    check.record([{ id: "e1", inFlight: 8 } as PlacementCandidate]);
    assert.equal(check.mayHaveRoom(), false);
    assert.equal(choices, 0);
    own = 3;
    assert.equal(check.mayHaveRoom(), false);
    others = 3;
    assert.equal(check.mayHaveRoom(), true);
});
