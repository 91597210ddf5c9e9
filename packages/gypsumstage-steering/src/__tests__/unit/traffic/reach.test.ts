import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseInstances } from "../../../traffic/chooseInstances.js";
import { chooseReachProbes } from "../../../traffic/chooseReachProbes.js";
import { chooseRelay } from "../../../traffic/chooseRelay.js";
import { isReachCheckDue } from "../../../traffic/isReachCheckDue.js";
import { listReachingInstances } from "../../../traffic/listReachingInstances.js";
import type { ReachEvent } from "../../../traffic/ReachEvent.js";
import type { ServiceReach } from "../../../traffic/ServiceReach.js";
import { updateReach } from "../../../traffic/updateReach.js";
import { createEndpoint } from "./createEndpoint.js";
import { createReport } from "./createReport.js";

const START: ServiceReach = { isCut: false, contactAtMs: 0, checkedAtMs: 0, hasFailed: false };
/** Time within which an instance should know that it is cut off. */
const NOTICE_MS = 1_000;

const apply = (...events: readonly ReachEvent[]): ServiceReach => events.reduce(updateReach, START);

test("neither a failed connection nor responses on old connections decide whether a service is cut off; a check does", () => {
    assert.equal(apply({ kind: "failed" }, { kind: "failed" }).isCut, false);
    const cut = apply({ kind: "failed" }, { kind: "checked", isReached: false, nowMs: 300 });
    assert.equal(cut.isCut, true);
    assert.equal(updateReach(cut, { kind: "answered", nowMs: 400 }).isCut, true);
    assert.equal(updateReach(cut, { kind: "checked", isReached: true, nowMs: 600 }).isCut, false);
});

test("the links are checked soon after a failure or without contact, and not while responses arrive", () => {
    assert.equal(isReachCheckDue(apply({ kind: "failed" }), true, 300), true);
    assert.equal(isReachCheckDue(START, true, 700), true);
    assert.equal(isReachCheckDue(START, false, NOTICE_MS), true);
    assert.equal(isReachCheckDue(apply({ kind: "answered", nowMs: 500 }), true, 900), false);
});

test("the time between two checks of a service is bounded, whatever fails", () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 400 }), { maxLength: 60 }), pauses => {
        let reach = START;
        let nowMs = 0;
        let lastCheckAtMs = -Infinity;
        for (const pauseMs of pauses) {
            nowMs += pauseMs;
            reach = updateReach(reach, { kind: "failed" });
            if (isReachCheckDue(reach, true, nowMs)) {
                assert.ok(nowMs - lastCheckAtMs >= 250);
                lastCheckAtMs = nowMs;
                reach = updateReach(reach, { kind: "checked", isReached: nowMs % 2 === 0, nowMs });
            }
        }
    }));
});

test("checks go to endpoints of different data centres, as far as there are", () => {
    const endpoints = ["a", "a", "a", "a", "b", "c"].map((dataCentre, index) =>
        createEndpoint(`e${index}`, { dataCentre })
    );
    for (let run = 0; run < 50; run++) {
        const chosen = chooseReachProbes(endpoints, new Set(["e5"]), 2, Math.random);
        assert.deepEqual(chosen.map(each => each.dataCentre).sort(), ["a", "b"]);
    }
});

test("an endpoint that responded is among the first to be checked, so that others that are down are not taken for a cut", () => {
    const endpoints = ["a", "a", "b", "c"].map((dataCentre, index) =>
        createEndpoint(`e${index}`, { dataCentre })
    );
    for (let run = 0; run < 50; run++) {
        const chosen = chooseReachProbes(endpoints, new Set(), 1, Math.random, "e1");
        assert.deepEqual(chosen.map(each => each.id), ["e1"]);
    }
});

const relay = (
    name: string,
    region: string,
    cutServices: readonly string[] = [],
): ReturnType<typeof createReport> => createReport(name, { region, cutServices, isReady: true });

const choose = (
    candidates: readonly ReturnType<typeof createReport>[],
    permittedRegions: readonly string[] = [],
): string | undefined =>
    chooseRelay(
        candidates,
        { service: "desk", permittedRegions, excludedNames: new Set(["x"]) },
        "kutch",
        Math.random,
    )?.name;

test("a request is passed on to an instance that reaches its service, in a region where it may be, in this one if possible", () => {
    assert.equal(choose([relay("a", "bharuch"), relay("b", "kutch"), relay("x", "kutch")]), "b");
    assert.equal(choose([relay("a", "bharuch"), relay("b", "kutch", ["desk"])]), "a");
    assert.equal(choose([relay("a", "bharuch"), relay("b", "kutch")], ["bharuch"]), "a");
    assert.equal(
        choose([relay("b", "kutch")], ["bharuch"]),
        undefined,
        "its body must not leave its regions",
    );
    assert.equal(choose([relay("b", "kutch", ["desk"])]), undefined);
});

test("look-ups leave out instances that do not reach a service of the host, unless none does", () => {
    const instances = [relay("a", "kutch", ["desk"]), relay("b", "kutch"), relay("c", "kutch", ["ledger"])];
    const list = (services: readonly string[]): readonly string[] =>
        listReachingInstances(instances, new Set(services)).map(each => each.name);
    assert.deepEqual(list(["desk"]), ["b", "c"]);
    assert.deepEqual(list(["album"]), ["a", "b", "c"]);
    assert.deepEqual(
        listReachingInstances(instances.slice(0, 1), new Set(["desk"])).map(each => each.name),
        ["a"],
    );
});

test("callers of a data centre whose instances are all cut off are told those of the other data centre of the region", () => {
    const at = (
        name: string,
        dataCentre: string,
        region: string,
        cut: boolean,
    ): ReturnType<typeof createReport> =>
        createReport(name, { dataCentre, region, isReady: true, cutServices: cut ? ["desk"] : [] });
    const instances = [
        at("a", "kutch-a", "kutch", true),
        at("b", "kutch-a", "kutch", true),
        at("c", "kutch-b", "kutch", false),
        at("d", "bharuch-a", "bharuch", false),
    ];
    const query = { host: "h", dataCentre: "kutch-a", region: "kutch" };
    const lookUp = (services: readonly string[]): readonly string[] =>
        chooseInstances(query, listReachingInstances(instances, new Set(services)), []);
    assert.deepEqual(lookUp(["desk"]), ["c:1"]);
    assert.deepEqual(lookUp(["ledger"]), ["a:1", "b:1"]);
});
