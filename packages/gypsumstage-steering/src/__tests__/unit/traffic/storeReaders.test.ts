import assert from "node:assert/strict";
import { test } from "node:test";
import { rankByRendezvousHash } from "../../../rankByRendezvousHash.js";
import { listAnnouncementTargets } from "../../../traffic/listAnnouncementTargets.js";
import { listLivePeers } from "../../../traffic/listLivePeers.js";
import type { PeerReport } from "../../../traffic/PeerReport.js";
import type { PeerState } from "../../../traffic/PeerState.js";
import { recordPeerReport } from "../../../traffic/recordPeerReport.js";
import { recordTopicAnnouncement } from "../../../traffic/recordTopicAnnouncement.js";
import { shouldFollowStore } from "../../../traffic/shouldFollowStore.js";
import { createReport } from "./createReport.js";

const REGIONS = ["kutch", "bharuch", "bhavnagar"];
/** Running time of an instance that started long ago. */
const RUNNING_MS = 60_000;
const LIMITS = { maxSilenceMs: 1_500, maxStoreAgeMs: 3_300 };
/** Time in which a change must be in force everywhere, less one second for reading the store and fetching. */
const MAX_STEP_IN_MS = 2_000;
/** Report interval for each instance of the fleet. */
const REPORT_INTERVAL_PER_PEER_MS = 12;
const STEP_MS = 50;

const state = (fields: PeerReport, heardAtMs: number): PeerState => ({
    report: fields,
    receivedAtMs: heardAtMs,
    heardAtMs,
});

interface SimulatedInstance {
    readonly name: string;
    readonly region: string;
}

const createFleet = (size: number): readonly SimulatedInstance[] =>
    Array.from({ length: size }, (...[, index]) => ({
        name: `n-${index}`,
        region: REGIONS[index % REGIONS.length] ?? "kutch",
    }));

const findReaders = (fleet: readonly SimulatedInstance[]): ReadonlySet<string> =>
    new Set(REGIONS.map(region => {
        const names = fleet.filter(each => each.region === region).map(each => each.name);
        return rankByRendezvousHash("store-follower", names)[0] ?? "";
    }));

for (const size of [8, 84, 300, 3_200]) {
    test(`in a fleet of ${size} the end of a region's only reader is noticed before a change is late`, () => {
        const fleet = createFleet(size);
        const readers = findReaders(fleet);
        const reportIntervalMs = REPORT_INTERVAL_PER_PEER_MS * size;
        const listPeers = (nowMs: number): readonly PeerState[] =>
            fleet.map(({ name, region }) => {
                const isDead = region === "kutch" && readers.has(name);
                const lastReportAtMs = isDead ? 0 : nowMs - nowMs % reportIntervalMs;
                return state(
                    createReport(name, { region, storeAgeMs: readers.has(name) ? 0 : undefined }),
                    lastReportAtMs,
                );
            });
        const [waiting] = fleet.filter(each => each.region === "kutch" && !readers.has(each.name));
        assert.ok(waiting);
        let nowMs = 0;
        while (!shouldFollowStore(waiting, listPeers(nowMs), RUNNING_MS, nowMs, LIMITS)) {
            nowMs += STEP_MS;
        }
        assert.ok(nowMs > 0 && nowMs <= MAX_STEP_IN_MS, `after ${nowMs} ms`);
    });
}

test("of many instances that start at the same moment one a region reads the store, the others only when they hear no reader", () => {
    const names = Array.from({ length: 22 }, (...[, index]) => `n-${index}`);
    const countReaders = (runningMs: number): number =>
        names.filter(name => {
            const others = names.filter(each => each !== name).map(each => state(createReport(each), 0));
            return shouldFollowStore({ name, region: "kutch" }, others, runningMs, runningMs, LIMITS);
        }).length;
    assert.equal(countReaders(100), 0);
    assert.equal(countReaders(400), 1);
    assert.equal(countReaders(LIMITS.maxSilenceMs + 1), names.length);
});

test("a reader that is stopping is replaced at once", () => {
    const reader = createReport("r", { storeAgeMs: 10 });
    const [better] = rankByRendezvousHash("store-follower", ["r", "own"]);
    const own = { name: better === "r" ? "own" : "other", region: "kutch" };
    assert.equal(shouldFollowStore(own, [state(reader, 0)], RUNNING_MS, 100, LIMITS), false);
    assert.equal(
        shouldFollowStore(own, [state({ ...reader, isReady: false }, 0)], RUNNING_MS, 100, LIMITS),
        true,
    );
});

test("an announcement updates what a peer told, and proves that the peer lives", () => {
    const peers = recordPeerReport(new Map(), createReport("r"), 0);
    const topics = { policy: { revision: 7, count: 1, digest: 5 } };
    const announcement = { name: "r", incarnation: "i", isReady: true, topics, storeAgeMs: 20 };
    const next = recordTopicAnnouncement(peers, announcement, 5_000);
    assert.deepEqual(next.get("r")?.report, createReport("r", { topics, storeAgeMs: 20 }));
    assert.equal(listLivePeers(next, 5_100, 1_200).length, 1);
    assert.equal(next.get("r")?.receivedAtMs, 0);
    assert.equal(recordTopicAnnouncement(peers, { ...announcement, incarnation: "j" }, 5_000), peers);
    assert.equal(recordTopicAnnouncement(peers, { ...announcement, name: "x" }, 5_000), peers);
});

test("announcements go to the reader's region and to the readers of the others, not to the whole fleet", () => {
    const peers = [
        state(createReport("near"), 0),
        state(createReport("far", { region: "bharuch" }), 0),
        state(createReport("far-reader", { region: "bharuch", storeAgeMs: 10 }), 0),
    ];
    const targets = listAnnouncementTargets("kutch", peers, 100, LIMITS);
    assert.deepEqual(targets.map(peer => peer.report.name), ["near", "far-reader"]);
});
