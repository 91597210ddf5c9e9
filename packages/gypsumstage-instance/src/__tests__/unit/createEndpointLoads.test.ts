import type { EndpointLoad } from "@gypsumstage/steering/traffic/EndpointLoad";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLoadSourceChoice } from "../../request/createLoadSourceChoice.js";
import { createEndpointLoads } from "../../upstream/createEndpointLoads.js";

const load: EndpointLoad = { running: 3, waiting: 1, slots: 4, slowness: 1 };

test("reports of loads stay bounded however many endpoints respond, and are absent where no one needs them", () => {
    const loads = createEndpointLoads(() => 0);
    for (let index = 0; index < 300; index++) {
        loads.observe(`e-${index}`, load);
    }
    assert.equal(loads.listRecent(), undefined);
    loads.setReported(true);
    const reported = loads.listRecent() ?? {};
    assert.deepEqual([Object.keys(reported).length, reported["e-299"]?.slice(0, 4)], [16, [3, 1, 4, 1]]);
    assert.ok(JSON.stringify(reported).length < 600);
});

test("a figure received from another instance is used but not passed on; a malformed one is ignored", () => {
    const loads = createEndpointLoads(() => 1);
    loads.setReported(true);
    loads.applyReport({ loads: { "e-1": [3, 2, 4, 1.5, 40] } }, 1_000);
    loads.applyReport({ loads: { "e-2": ["3", 2, 4, 1.5, 40] as never, "e-3": [3] as never } }, 1_000);
    loads.applyReport({ loads: JSON.parse("null") as never }, 1_000);
    assert.equal(loads.figure("e-1")?.othersInFlight, 4);
    assert.equal(loads.figure("e-1")?.statedAtMs, 960);
    assert.deepEqual([loads.size(), loads.listRecent()], [1, undefined]);
    loads.keepOnly(new Map());
    assert.equal(loads.size(), 0);
});

test("an instance that hears a few of many instances uses and reports the loads; one that hears all does not", () => {
    const peer = { report: { loads: { "e-1": [3, 2, 4, 1, 0] } }, receivedAtMs: 0 };
    const chooseAmong = (live: number, reporting: number): boolean =>
        createLoadSourceChoice({
            live: () => Array.from({ length: live }, () => peer as never),
            reporting: () => Array.from({ length: reporting }, () => peer as never),
        }, createEndpointLoads(() => 0))();
    assert.deepEqual([chooseAmong(117, 19), chooseAmong(7, 7)], [true, false]);
});

test("when all reports are lost, an instance of a large fleet goes on with the loads that it observes itself", () => {
    const loads = createEndpointLoads(() => 0);
    loads.observe("e-1", load);
    const peers = { live: () => Array.from({ length: 117 }, () => ({}) as never), reporting: () => [] };
    assert.equal(createLoadSourceChoice(peers, loads)(), true);
    assert.deepEqual([loads.size(), Object.keys(loads.listRecent() ?? {})], [1, ["e-1"]]);
});
