import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { computeStoreReaderLimits } from "@gypsumstage/steering/traffic/computeStoreReaderLimits";
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
import { createCopyAges } from "./createCopyAges.js";
import { createWatchSchedule } from "./createWatchSchedule.js";
import type { FleetStore } from "./FleetStore.js";
import type { FollowedTopics } from "./FollowedTopics.js";
import { registerTopicFollower } from "./registerTopicFollower.js";

const TOPICS: readonly Topic[] = ["policy", "endpoints", "evacuations"];
/** Pause between two checks whether this instance is to read the store. */
const CHECK_INTERVAL_MS = 50;
/** Announcements in each interval of confirmations, so that the loss of one doesn't make others step in. */
const ANNOUNCEMENTS_PER_INTERVAL = 2;

/** What `followTopics` has to know of the instance. */
interface FollowingInstance {
    /** Random id of this run of the process. */
    readonly incarnation: string;
    readonly isReady: () => boolean;
    /** Returns the time in which a change of the store must be in force at all instances, in milliseconds. */
    readonly changeBoundMs: () => number;
}

/**
 * Keeps every topic up to date: from the store when this instance is one of its followers, and from peers that
 * have a more recent copy.
 *
 * @param cfg - the instance's settings
 * @param self - this run of the process, whether it is ready, and the bound for changes
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
    self: FollowingInstance,
    fleet: FleetState,
    store: FleetStore,
    peers: PeerExchange,
    rpc: RpcClient,
    metrics: Pick<InstanceMetrics, "recordTopicPull">,
    log: Log,
): FollowedTopics => {
    const { incarnation, isReady, changeBoundMs } = self;
    const startedAtMs = monotonicNow();
    const limits = (): StoreReaderLimits => computeStoreReaderLimits(changeBoundMs());
    let isFollowing = false;
    const chooseWaitMs = createWatchSchedule(() => limits().confirmIntervalMs);
    const followed = TOPICS.map(topic => {
        const copy = fleet.topics[topic];
        const follower = registerTopicFollower(store, topic, copy, {
            isWanted: () => isFollowing,
            chooseWaitMs: () => chooseWaitMs(topic),
            onConfirmed: () => announcements.onRead(),
        }, log);
        return { topic, copy, follower };
    });
    const stopPulls = TOPICS.map(topic =>
        registerTopicPull(topic, fleet.topics[topic], cfg, peers.live, rpc, metrics, log)
    );
    const { update, storeAgeMs, copyAgeMs } = createCopyAges(
        followed,
        () => isFollowing,
        () => limits().confirmIntervalMs,
    );
    const check = (): void => {
        const allPeers = peers.all();
        const nowMs = monotonicNow();
        update(allPeers);
        const ageMs = copyAgeMs();
        const isNext = shouldFollowStore(cfg, allPeers, nowMs - startedAtMs, nowMs, ageMs, limits());
        if (isNext === isFollowing) {
            return;
        }
        isFollowing = isNext;
        followed.forEach(({ follower }) => follower.wake());
        log("info", isNext ? "store-follow-started" : "store-follow-stopped", {
            peers: allPeers.length,
            peerStoreAgeMs: findStoreAge(undefined, allPeers, nowMs),
            copyAgeMs: ageMs,
        });
    };
    const announcements = registerAnnouncements(
        () =>
            isFollowing
                ? {
                    name: cfg.name,
                    incarnation,
                    isReady: isReady(),
                    topics: fleet.topicVersions(),
                    storeAgeMs: storeAgeMs(),
                }
                : undefined,
        () =>
            listAnnouncementTargets(
                cfg.region,
                peers.live(),
                monotonicNow(),
                limits().maxStepInAgeMs,
            ),
        TOPICS.map(topic => fleet.topics[topic]),
        () => limits().confirmIntervalMs / ANNOUNCEMENTS_PER_INTERVAL,
        peers.announce,
    );
    const checkTimer = setInterval(check, CHECK_INTERVAL_MS);
    return {
        storeAgeMs,
        copyAgeMs,
        stop: () => {
            clearInterval(checkTimer);
            announcements.stop();
            followed.forEach(({ follower }) => follower.stop());
            stopPulls.forEach(stop => stop());
        },
    };
};
