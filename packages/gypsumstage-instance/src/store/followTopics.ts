import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { findStoreAge } from "@gypsumstage/steering/traffic/findStoreAge";
import { listAnnouncementTargets } from "@gypsumstage/steering/traffic/listAnnouncementTargets";
import { shouldFollowStore } from "@gypsumstage/steering/traffic/shouldFollowStore";
import type { StoreReaderLimits } from "@gypsumstage/steering/traffic/StoreReaderLimits";
import type { FleetState } from "../FleetState.js";
import type { InstanceConfig } from "../InstanceConfig.js";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import { registerAnnouncements } from "../peers/registerAnnouncements.js";
import { registerTopicPull } from "../peers/registerTopicPull.js";
import type { FleetStore } from "./FleetStore.js";
import type { FollowedTopics } from "./FollowedTopics.js";
import { registerTopicFollower } from "./registerTopicFollower.js";

const TOPICS: readonly Topic[] = ["policy", "endpoints", "evacuations"];
/** Longest wait of one watch; bounds the time until a dead connection is detected. */
const WATCH_TIMEOUT_MS = 2_000;
/**
 * A reader announces every 500 ms, so three lost announcements make another instance step in. Its last read is as old as a
 * watch that waits to its end and is given up, and an announcement.
 */
const READER_LIMITS: StoreReaderLimits = { maxSilenceMs: 1_500, maxStoreAgeMs: 3_300 };

/**
 * Keeps every topic up to date: from the store when this instance is one of its followers, and from peers that
 * have a more recent copy.
 *
 * @param cfg - the instance's settings
 * @param self - this run of the process, and whether it is ready
 * @param fleet - the instance's copies of the topics
 * @param store - the platform's store
 * @param peers - the reports of the other instances
 * @param rpc - client for RPC calls to peers
 * @param metrics - receives the fetches from peers
 * @param log - receives loss and recovery of the store, and what is fetched from peers
 * @returns the handle on the followed topics
 */
export const followTopics = (
    cfg: InstanceConfig,
    self: { readonly incarnation: string; readonly isReady: () => boolean; },
    fleet: FleetState,
    store: FleetStore,
    peers: PeerExchange,
    rpc: RpcClient,
    metrics: Pick<InstanceMetrics, "recordTopicPull">,
    log: Log,
): FollowedTopics => {
    const { incarnation, isReady } = self;
    const startedAtMs = monotonicNow();
    let isFollowing = false;
    const shouldFollow = (): boolean => {
        const allPeers = peers.all();
        const nowMs = monotonicNow();
        const isNext = shouldFollowStore(cfg, allPeers, nowMs - startedAtMs, nowMs, READER_LIMITS);
        if (isNext !== isFollowing) {
            isFollowing = isNext;
            log("info", isNext ? "store-follow-started" : "store-follow-stopped", {
                peers: allPeers.length,
                peerStoreAgeMs: findStoreAge(undefined, allPeers, nowMs),
            });
        }
        return isNext;
    };
    const followers = TOPICS.map(topic =>
        registerTopicFollower(store, topic, fleet.topics[topic], shouldFollow, WATCH_TIMEOUT_MS, log)
    );
    const stopPulls = TOPICS.map(topic =>
        registerTopicPull(topic, fleet.topics[topic], cfg, peers.live, rpc, metrics, log)
    );
    const storeAgeMs = (): number | undefined => {
        const confirmed = followers.map(follower => follower.confirmedAtMs());
        const oldestAtMs = confirmed.reduce((left, right) =>
            left === undefined || right === undefined ? undefined : Math.min(left, right)
        );
        return oldestAtMs === undefined || !isFollowing ? undefined : Math.round(monotonicNow() - oldestAtMs);
    };
    const stopAnnouncements = registerAnnouncements(
        () => ({
            name: cfg.name,
            incarnation,
            isReady: isReady(),
            topics: fleet.topicVersions(),
            storeAgeMs: storeAgeMs(),
        }),
        () => listAnnouncementTargets(cfg.region, peers.live(), monotonicNow(), READER_LIMITS),
        TOPICS.map(topic => fleet.topics[topic]),
        peers.announce,
    );
    return {
        storeAgeMs,
        stop: () => {
            stopAnnouncements();
            followers.forEach(follower => follower.stop());
            stopPulls.forEach(stop => stop());
        },
    };
};
