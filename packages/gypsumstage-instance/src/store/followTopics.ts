import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { findStoreAge } from "@gypsumstage/steering/traffic/findStoreAge";
import { shouldFollowStore } from "@gypsumstage/steering/traffic/shouldFollowStore";
import type { FleetState } from "../FleetState.js";
import type { InstanceConfig } from "../InstanceConfig.js";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import { registerTopicPull } from "../peers/registerTopicPull.js";
import type { FleetStore } from "./FleetStore.js";
import type { FollowedTopics } from "./FollowedTopics.js";
import { registerTopicFollower } from "./registerTopicFollower.js";

const TOPICS: readonly Topic[] = ["policy", "endpoints", "evacuations"];
/** Longest wait of one watch; bounds the time until a dead connection is detected. */
const WATCH_TIMEOUT_MS = 2_000;
/** Age of the peers' most recent read of the store above which this instance follows the store itself. */
const MAX_PEER_STORE_AGE_MS = 2_800;

/**
 * Keeps every topic up to date: from the store when this instance is one of its followers, and from peers that
 * have a more recent copy.
 *
 * @param cfg - the instance's settings
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
    fleet: FleetState,
    store: FleetStore,
    peers: PeerExchange,
    rpc: RpcClient,
    metrics: Pick<InstanceMetrics, "recordTopicPull">,
    log: Log,
): FollowedTopics => {
    let isFollowing = false;
    const shouldFollow = (): boolean => {
        const livePeers = peers.live();
        const nowMs = monotonicNow();
        const isNext = shouldFollowStore(cfg, livePeers, nowMs, MAX_PEER_STORE_AGE_MS);
        if (isNext !== isFollowing) {
            isFollowing = isNext;
            log("info", isNext ? "store-follow-started" : "store-follow-stopped", {
                livePeers: livePeers.length,
                peerStoreAgeMs: findStoreAge(undefined, livePeers, nowMs),
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
    return {
        storeAgeMs: () => {
            const confirmed = followers.map(follower => follower.confirmedAtMs());
            const oldestAtMs = confirmed.reduce((left, right) =>
                left === undefined || right === undefined ? undefined : Math.min(left, right)
            );
            return oldestAtMs === undefined ? undefined : Math.round(monotonicNow() - oldestAtMs);
        },
        stop: () => {
            followers.forEach(follower => follower.stop());
            stopPulls.forEach(stop => stop());
        },
    };
};
