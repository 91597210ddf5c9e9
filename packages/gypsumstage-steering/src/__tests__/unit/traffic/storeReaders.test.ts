import assert from "node:assert/strict";
import { test } from "node:test";
import { rankByRendezvousHash } from "../../../rankByRendezvousHash.js";
import { chooseWatchEnd } from "../../../traffic/chooseWatchEnd.js";
import { computeStoreReaderLimits } from "../../../traffic/computeStoreReaderLimits.js";
import { confirmCopy } from "../../../traffic/confirmCopy.js";
import { EMPTY_TOPIC } from "../../../traffic/EMPTY_TOPIC.js";
import { listAnnouncementTargets } from "../../../traffic/listAnnouncementTargets.js";
import { listLivePeers } from "../../../traffic/listLivePeers.js";
import type { PeerReport } from "../../../traffic/PeerReport.js";
import type { PeerState } from "../../../traffic/PeerState.js";
import { recordPeerReport } from "../../../traffic/recordPeerReport.js";
import { recordTopicAnnouncement } from "../../../traffic/recordTopicAnnouncement.js";
import { shouldFollowStore } from "../../../traffic/shouldFollowStore.js";
import type { TopicState } from "../../../traffic/TopicState.js";
import { createReport } from "./createReport.js";

const REGIONS = ["kutch", "bharuch", "bhavnagar"];
/** Running time of an instance that started long ago. */
const RUNNING_MS = 60_000;
/** Shortest of the users' bounds, and time in which a change is to be known, half of it. */
const CHANGE_BOUND_MS = 2_500;
const MAX_STEP_IN_MS = CHANGE_BOUND_MS / 2;
const LIMITS = computeStoreReaderLimits(CHANGE_BOUND_MS);
/** Age of the own copies of an instance that hears a reader. */
const COPY_AGE_MS = 100;
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
        while (!shouldFollowStore(waiting, listPeers(nowMs), RUNNING_MS, nowMs, nowMs, LIMITS)) {
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
            return shouldFollowStore(
                { name, region: "kutch" },
                others,
                runningMs,
                runningMs,
                undefined,
                LIMITS,
            );
        }).length;
    assert.equal(countReaders(100), 0);
    assert.equal(countReaders(400), 1);
    assert.equal(countReaders(1_501), names.length);
});

test("a reader that is stopping is replaced at once", () => {
    const reader = createReport("r", { storeAgeMs: 10 });
    const [better] = rankByRendezvousHash("store-follower", ["r", "own"]);
    const own = { name: better === "r" ? "own" : "other", region: "kutch" };
    assert.equal(shouldFollowStore(own, [state(reader, 0)], RUNNING_MS, 100, COPY_AGE_MS, LIMITS), false);
    assert.equal(
        shouldFollowStore(
            own,
            [state({ ...reader, isReady: false }, 0)],
            RUNNING_MS,
            100,
            COPY_AGE_MS,
            LIMITS,
        ),
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
    const targets = listAnnouncementTargets("kutch", peers, 100, LIMITS.maxStepInAgeMs);
    assert.deepEqual(targets.map(peer => peer.report.name), ["near", "far-reader"]);
});

test("a region whose readers have lost the store still gets announcements of the others", () => {
    const names = Array.from({ length: 9 }, (...[, index]) => `far-${index}`);
    const peers = names.map(name => state(createReport(name, { region: "bharuch", storeAgeMs: 5_000 }), 0));
    assert.equal(listAnnouncementTargets("kutch", peers, 100, LIMITS.maxStepInAgeMs).length, 2);
});

test("an instance whose own copies are too old reads the store, although its region's reader has just read it", () => {
    const reader = createReport("r", { storeAgeMs: 10 });
    const [better] = rankByRendezvousHash("store-follower", ["r", "own"]);
    const own = { name: better === "r" ? "own" : "other", region: "kutch" };
    const follows = (copyAgeMs: number): boolean =>
        shouldFollowStore(own, [state(reader, 0)], RUNNING_MS, 100, copyAgeMs, LIMITS);
    assert.equal(follows(LIMITS.minStepInAgeMs), false);
    assert.equal(follows(LIMITS.maxStepInAgeMs + 1), true);
});

test("a copy is confirmed by the reads of peers that knew no more than it has", () => {
    const topics = { policy: { era: 1, revision: 7, count: 1, digest: 5 } };
    const peers = [state(createReport("r", { topics, storeAgeMs: 20 }), 1_000)];
    const copy = (fields: Partial<TopicState>): TopicState => ({ ...EMPTY_TOPIC, era: 1, ...fields });
    assert.equal(confirmCopy(undefined, "policy", copy({ revision: 7 }), peers), 980);
    assert.equal(confirmCopy(undefined, "policy", copy({ revision: 6, digest: 5 }), peers), 980);
    assert.equal(confirmCopy(100, "policy", copy({ revision: 6 }), peers), 100);
    assert.equal(confirmCopy(100, "policy", copy({ revision: 9, era: 2 }), peers), 100);
    assert.equal(confirmCopy(990, "policy", copy({ revision: 7 }), peers), 990);
});

test("watches of several topics end one in each interval, whenever one of them ended early", () => {
    assert.equal(chooseWatchEnd(0, [], 600), 600);
    assert.equal(chooseWatchEnd(0, [600, 1_200], 600), 1_800);
    assert.equal(chooseWatchEnd(900, [1_200, 1_800], 600), 2_400);
    assert.equal(chooseWatchEnd(0, [900, 1_500], 600), 600);
});
