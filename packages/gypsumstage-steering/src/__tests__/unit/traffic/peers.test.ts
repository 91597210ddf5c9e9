import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseInstances } from "../../../traffic/chooseInstances.js";
import { EMPTY_TOPIC } from "../../../traffic/EMPTY_TOPIC.js";
import { findFresherPeer } from "../../../traffic/findFresherPeer.js";
import { isStoreFollower } from "../../../traffic/isStoreFollower.js";
import { listColdOwners } from "../../../traffic/listColdOwners.js";
import { listHomeRegions } from "../../../traffic/listHomeRegions.js";
import { listLivePeers } from "../../../traffic/listLivePeers.js";
import type { PeerReport } from "../../../traffic/PeerReport.js";
import type { PeerTable } from "../../../traffic/PeerTable.js";
import { updatePeers } from "../../../traffic/updatePeers.js";
import { createRoute } from "./createRoute.js";

const report = (name: string, fields: Partial<PeerReport> = {}): PeerReport => ({
    name,
    dataCentre: "kutch-a",
    region: "kutch",
    address: `${name}:1`,
    incarnation: "i",
    internalAddress: `${name}:2`,
    isReady: true,
    topics: {},
    storeAgeMs: 100,
    inFlight: {},
    demand: {},
    placed: {},
    peers: [],
    ...fields,
});

const hear = (now: number, ...reports: readonly PeerReport[]): PeerTable =>
    reports.reduce((peers: PeerTable, each) => updatePeers(peers, each, now), new Map());

test("an instance that fell silent is no longer live, and is forgotten later", () => {
    const peers = hear(0, report("a"));
    assert.equal(listLivePeers(peers, 1_000, 1_200).length, 1);
    assert.equal(listLivePeers(peers, 1_300, 1_200).length, 0);
    assert.deepEqual([...updatePeers(peers, report("b"), 60_000).keys()], ["b"]);
});

test("one instance of a region follows the store while knowledge is fresh", () => {
    const all = ["a", "b", "c"];
    const followers = all.filter(own => {
        const others = hear(0, ...all.filter(name => name !== own).map(name => report(name)));
        return isStoreFollower({ name: own, region: "kutch" }, [...others.values()], 100, 2_800);
    });
    assert.equal(followers.length, 1);
});

test("everybody follows the store when nobody's knowledge is fresh", () => {
    const peers = [
        ...hear(0, report("a", { storeAgeMs: undefined }), report("b", { storeAgeMs: 2_700 })).values(),
    ];
    assert.equal(isStoreFollower({ name: "c", region: "kutch" }, peers, 200, 2_800), true);
});

test("news is fetched from a near instance that knows more", () => {
    const mark = { endpoints: { revision: 7, count: 3 } };
    const peers = [
        ...hear(
            0,
            report("far", { region: "bharuch", dataCentre: "x", topics: mark }),
            report("near", { topics: mark }),
        ).values(),
    ];
    const place = { dataCentre: "kutch-a", region: "kutch" };
    const known = { ...EMPTY_TOPIC, revision: 6, changedRevision: 6 };
    assert.equal(findFresherPeer("endpoints", known, peers, place)?.report.name, "near");
    const current = { ...EMPTY_TOPIC, revision: 8, changedRevision: 6 };
    assert.equal(findFresherPeer("endpoints", current, peers, place), undefined);
});

test("callers are told the instances of their data centre, and a near one beside a single one", () => {
    const instances = [
        report("a"),
        report("b", { dataCentre: "kutch-b" }),
        report("c", { dataCentre: "x", region: "bharuch" }),
    ];
    const ask = (dataCentre: string, region: string, homes: readonly string[] = []): readonly string[] =>
        chooseInstances({ host: "h", dataCentre, region }, instances, homes);
    assert.deepEqual(ask("kutch-a", "kutch"), ["a:1", "b:1"]);
    assert.deepEqual(ask("x", "bharuch"), ["c:1"]);
    assert.deepEqual(ask("y", "bhavnagar"), ["a:1", "b:1", "c:1"]);
    assert.deepEqual(ask("y", "bhavnagar", ["bharuch"]), ["c:1"]);
    assert.deepEqual(ask("kutch-a", "kutch", ["bharuch"]), ["a:1", "b:1"], "its own region stays first");
});

test("the owners of a cold endpoint stay the same while other instances come and go", () => {
    const endpoint = { id: "e1", region: "kutch" };
    const instances = Array.from({ length: 20 }, (_, index) => ({ name: `n${index}`, region: "kutch" }));
    const owners = listColdOwners(endpoint, instances, 3);
    const left = instances.filter(each => owners.includes(each.name) || each.name < "n5");
    assert.deepEqual(listColdOwners(endpoint, left, 3), owners);
});

test("instances of a cold endpoint's region own it first, others where they are too few", () => {
    const instances = ["kutch", "kutch", "bharuch", "bharuch", "bharuch"]
        .map((region, index) => ({ name: `n${index}`, region }));
    const owners = listColdOwners({ id: "e1", region: "kutch" }, instances, 3);
    assert.deepEqual([...owners.slice(0, 2)].sort(), ["n0", "n1"]);
    assert.equal(owners.length, 3);
});

test("the home regions of a host are those in which all its bound routes may be served", () => {
    const routes = [
        createRoute({ permittedRegions: ["kutch", "bharuch"] }),
        createRoute({ pathPrefix: "/b/", permittedRegions: ["bharuch", "bhavnagar"] }),
        createRoute({ pathPrefix: "/c/" }),
        createRoute({ host: "other.example", permittedRegions: ["kutch"] }),
    ];
    assert.deepEqual(listHomeRegions(routes, "desk.example"), ["bharuch"]);
    assert.deepEqual(listHomeRegions(routes, "unknown.example"), []);
});
