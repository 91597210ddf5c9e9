import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseInstances } from "../../../traffic/chooseInstances.js";
import { computeStoreReaderLimits } from "../../../traffic/computeStoreReaderLimits.js";
import { EMPTY_TOPIC } from "../../../traffic/EMPTY_TOPIC.js";
import { findPeerWithNewerTopic } from "../../../traffic/findPeerWithNewerTopic.js";
import { listColdOwners } from "../../../traffic/listColdOwners.js";
import { listConfirmingInstances } from "../../../traffic/listConfirmingInstances.js";
import { listLivePeers } from "../../../traffic/listLivePeers.js";
import { listPermittedRegions } from "../../../traffic/listPermittedRegions.js";
import type { PeerReport } from "../../../traffic/PeerReport.js";
import type { PeerTable } from "../../../traffic/PeerTable.js";
import { recordPeerReport } from "../../../traffic/recordPeerReport.js";
import { shouldFollowStore } from "../../../traffic/shouldFollowStore.js";
import { createReport } from "./createReport.js";
import { createRoute } from "./createRoute.js";

/** Running time of an instance that started long ago. */
const RUNNING_MS = 60_000;
const LIMITS = computeStoreReaderLimits(2_500);
/** Age of the own copies of an instance that hears a reader. */
const COPY_AGE_MS = 100;

const report = (name: string, fields: Partial<PeerReport> = {}): PeerReport =>
    createReport(name, { storeAgeMs: 100, ...fields });

const receiveReports = (nowMs: number, ...reports: readonly PeerReport[]): PeerTable =>
    reports.reduce((peers: PeerTable, each) => recordPeerReport(peers, each, nowMs), new Map());

test("an instance without recent reports is no longer live, and is removed later", () => {
    const peers = receiveReports(0, report("a"));
    assert.equal(listLivePeers(peers, 1_000, 1_200).length, 1);
    assert.equal(listLivePeers(peers, 1_300, 1_200).length, 0);
    assert.deepEqual([...recordPeerReport(peers, report("b"), 60_000).keys()], ["b"]);
});

test("exactly one instance of a region follows the store while a recent read is reported", () => {
    const all = ["a", "b", "c"];
    const followers = all.filter(own => {
        const others = receiveReports(0, ...all.filter(name => name !== own).map(name => report(name)));
        return shouldFollowStore(
            { name: own, region: "kutch" },
            [...others.values()],
            RUNNING_MS,
            100,
            COPY_AGE_MS,
            LIMITS,
        );
    });
    assert.equal(followers.length, 1);
});

test("every instance follows the store when no peer has read it recently", () => {
    const peers = [
        ...receiveReports(0, report("a", { storeAgeMs: undefined }), report("b", { storeAgeMs: 2_700 }))
            .values(),
    ];
    assert.equal(
        shouldFollowStore({ name: "c", region: "kutch" }, peers, RUNNING_MS, 200, 2_900, LIMITS),
        true,
    );
});

test("a topic is fetched from the nearest peer with a more recent copy", () => {
    const versions = { endpoints: { revision: 7, count: 3 } };
    const peers = [
        ...receiveReports(
            0,
            report("far", { region: "bharuch", dataCentre: "x", topics: versions }),
            report("near", { topics: versions }),
        ).values(),
    ];
    const location = { dataCentre: "kutch-a", region: "kutch" };
    const older = { ...EMPTY_TOPIC, revision: 6, changedRevision: 6 };
    assert.equal(findPeerWithNewerTopic("endpoints", older, new Set(), peers, location)?.report.name, "near");
    const current = { ...EMPTY_TOPIC, revision: 8, changedRevision: 6 };
    assert.equal(findPeerWithNewerTopic("endpoints", current, new Set(), peers, location), undefined);
});

test("callers get the instances of their data centre, and if it has only one, a second one of their region", () => {
    const instances = [
        report("a"),
        report("b", { dataCentre: "kutch-b" }),
        report("c", { dataCentre: "x", region: "bharuch" }),
    ];
    const lookUp = (
        dataCentre: string,
        region: string,
        permittedRegions: readonly string[] = [],
    ): readonly string[] => chooseInstances({ host: "h", dataCentre, region }, instances, permittedRegions);
    assert.deepEqual(lookUp("kutch-a", "kutch"), ["a:1", "b:1"]);
    assert.deepEqual(lookUp("x", "bharuch"), ["c:1"]);
    assert.deepEqual(lookUp("y", "bhavnagar"), ["a:1", "b:1", "c:1"]);
    assert.deepEqual(lookUp("y", "bhavnagar", ["bharuch"]), ["c:1"]);
    assert.deepEqual(
        lookUp("kutch-a", "kutch", ["bharuch"]),
        ["a:1", "b:1"],
        "instances of the caller's region are preferred even if requests may not run there",
    );
});

test("the owners of a cold endpoint stay the same when other instances are removed", () => {
    const endpoint = { id: "e1", region: "kutch" };
    const instances = Array.from({ length: 20 }, (_, index) => ({ name: `n${index}`, region: "kutch" }));
    const owners = listColdOwners(endpoint, instances, 3);
    const remaining = instances.filter(each => owners.includes(each.name) || each.name < "n5");
    assert.deepEqual(listColdOwners(endpoint, remaining, 3), owners);
});

test("owners of a cold endpoint come from its region first, from other regions when there are too few", () => {
    const instances = ["kutch", "kutch", "bharuch", "bharuch", "bharuch"]
        .map((region, index) => ({ name: `n${index}`, region }));
    const owners = listColdOwners({ id: "e1", region: "kutch" }, instances, 3);
    assert.deepEqual([...owners.slice(0, 2)].sort(), ["n0", "n1"]);
    assert.equal(owners.length, 3);
});

test("the permitted regions of a host are those that all its restricted routes permit", () => {
    const routes = [
        createRoute({ permittedRegions: ["kutch", "bharuch"] }),
        createRoute({ pathPrefix: "/b/", permittedRegions: ["bharuch", "bhavnagar"] }),
        createRoute({ pathPrefix: "/c/" }),
        createRoute({ host: "other.example", permittedRegions: ["kutch"] }),
    ];
    assert.deepEqual(listPermittedRegions(routes, "desk.example"), ["bharuch"]);
    assert.deepEqual(listPermittedRegions(routes, "unknown.example"), []);
});

test("look-ups name regions that the route and some workspace permit, and instances that can confirm keys if there are any", () => {
    const routes = [
        createRoute({ permittedRegions: ["kutch", "bharuch"] }),
        createRoute({ host: "open.example", isPublic: true }),
    ];
    const [kutch, surat, all] = [["kutch"], ["surat"], []].map(permittedRegions =>
        ({ permittedRegions }) as unknown as Workspace
    );
    assert.ok(kutch && surat && all);
    assert.deepEqual(listPermittedRegions(routes, "desk.example", [kutch, surat]), ["kutch"]);
    assert.deepEqual(listPermittedRegions(routes, "desk.example", [kutch, all]), ["kutch", "bharuch"]);
    assert.deepEqual(listPermittedRegions(routes, "open.example", [kutch]), []);
    const [sound, cut] = [report("n-1"), report("n-2", { isUnconfirmed: true })];
    assert.deepEqual(listConfirmingInstances([sound, cut]), [sound]);
    assert.deepEqual(listConfirmingInstances([cut]), [cut]);
});
