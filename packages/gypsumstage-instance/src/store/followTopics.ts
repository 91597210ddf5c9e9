import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { isStoreFollower } from "@gypsumstage/steering/traffic/isStoreFollower";
import type { FleetKnowledge } from "../FleetKnowledge.js";
import type { InstanceConfig } from "../InstanceConfig.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import { registerTopicPull } from "../peers/registerTopicPull.js";
import type { FleetStore } from "./FleetStore.js";
import type { FollowedTopics } from "./FollowedTopics.js";
import { registerTopicFollower } from "./registerTopicFollower.js";

const TOPICS: readonly Topic[] = ["policy", "endpoints", "evacuations"];
/** Longest wait of one watch, in milliseconds: bounds how late a silent connection is noticed. */
const WATCH_MS = 2_000;
/** Age of a peer's knowledge of the store after which this instance follows the store itself. */
const STORE_FRESH_MS = 2_800;

/**
 * Keeps every topic up to date, from the store where this instance is to follow it, and from peers that know
 * more.
 *
 * @param cfg - the instance's settings
 * @param knowledge - what is known of the topics
 * @param store - the store
 * @param peers - the other instances
 * @param rpc - calls them
 * @param log - hears of what is lost and regained
 * @returns the topics
 */
export const followTopics = (
    cfg: InstanceConfig,
    knowledge: FleetKnowledge,
    store: FleetStore,
    peers: PeerExchange,
    rpc: RpcClient,
    log: Log,
): FollowedTopics => {
    const isFollowing = (): boolean => isStoreFollower(cfg, peers.live(), monotonicNow(), STORE_FRESH_MS);
    const followers = TOPICS.map(topic =>
        registerTopicFollower(store, topic, knowledge.topics[topic], isFollowing, WATCH_MS, log)
    );
    const stopPulls = TOPICS.map(topic =>
        registerTopicPull(topic, knowledge.topics[topic], cfg, peers.live, rpc, log)
    );
    return {
        storeAgeMs: () => {
            const confirmed = followers.map(follower => follower.confirmedAt());
            const oldest = confirmed.reduce((left, right) =>
                left === undefined || right === undefined ? undefined : Math.min(left, right)
            );
            return oldest === undefined ? undefined : Math.round(monotonicNow() - oldest);
        },
        stop: () => {
            followers.forEach(follower => follower.stop());
            stopPulls.forEach(stop => stop());
        },
    };
};
