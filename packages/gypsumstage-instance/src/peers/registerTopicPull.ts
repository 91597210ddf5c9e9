import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import type { Store } from "@gypsumstage/shared/Store";
import { computeCarriedDigest } from "@gypsumstage/steering/traffic/computeCarriedDigest";
import { findPeerWithNewerTopic } from "@gypsumstage/steering/traffic/findPeerWithNewerTopic";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";
import type { TopicUpdate } from "@gypsumstage/steering/traffic/TopicUpdate";
import { toTopicEvents } from "@gypsumstage/steering/traffic/toTopicEvents";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { TopicQuery } from "./TopicQuery.js";

/** Time after a failed fetch in which the peer is asked only if no other one has a more recent copy. */
const FAILED_PEER_PAUSE_MS = 2_000;
/** Pause between two checks for a peer with a more recent copy of the topic. */
const PULL_CHECK_INTERVAL_MS = 100;
/** Pause after a fetch, so that changes in quick succession share one. */
const PULL_INTERVAL_MS = 250;
/** Digests of carried records that are remembered, so that they are not fetched again; the latest ones. */
const MAX_CONSIDERED_CARRIED = 1_000;

/**
 * Fetches a topic from another instance whenever that one has a more recent copy, so that an instance which does not
 * follow the store, or cannot reach it, acts on the same view as the others.
 *
 * @param topic - the topic
 * @param topicStore - this instance's copy of the topic
 * @param location - data centre and region of this instance; near peers are preferred
 * @param live - returns the live peers
 * @param rpc - client for RPC calls to peers
 * @param metrics - receives the result, the size and the duration of each fetch
 * @param log - receives each fetch and each failure
 * @returns the function that stops the checks
 */
export const registerTopicPull = (
    topic: Topic,
    topicStore: Store<TopicState, TopicEvent>,
    location: { readonly dataCentre: string; readonly region: string; },
    live: () => readonly PeerState[],
    rpc: RpcClient,
    metrics: Pick<InstanceMetrics, "recordTopicPull">,
    log: Log,
): () => void => {
    const failedUntilMs = new Map<string, number>();
    const consideredCarried = new Set<number>();
    const findPeer = (): PeerState | undefined => {
        const nowMs = monotonicNow();
        const peers = live();
        for (const [name] of [...failedUntilMs].filter(([, untilMs]) => untilMs <= nowMs)) {
            failedUntilMs.delete(name);
        }
        const sound = peers.filter(peer => !failedUntilMs.has(peer.report.name));
        const own = topicStore.get();
        const known = new Set([...consideredCarried, computeCarriedDigest(own.carried)]);
        return findPeerWithNewerTopic(topic, own, known, sound, location)
            ?? findPeerWithNewerTopic(topic, own, known, peers, location);
    };
    const rememberCarried = (digest: number): void => {
        consideredCarried.add(digest);
        const [oldest] = consideredCarried;
        if (consideredCarried.size > MAX_CONSIDERED_CARRIED && oldest !== undefined) {
            consideredCarried.delete(oldest);
        }
    };
    let pauseMs = PULL_CHECK_INTERVAL_MS;
    const pull = async (): Promise<void> => {
        pauseMs = PULL_CHECK_INTERVAL_MS;
        const peer = findPeer();
        if (peer === undefined) {
            return;
        }
        const { name, internalAddress } = peer.report;
        const startedAtMs = monotonicNow();
        const { era: fromEra, revision: fromRevision } = topicStore.get();
        const peerVersion = peer.report.topics[topic];
        // At the same revision the peer has fewer records: a copy that kept a removed record for a grace period told of it.
        const areNamesNeeded = peerVersion?.revision === fromRevision;
        const query: TopicQuery = { topic, era: fromEra, since: fromRevision, areNamesNeeded };
        const res = await rpc.call<TopicUpdate>(internalAddress, "topic.read", query);
        const tookMs = Math.round(monotonicNow() - startedAtMs);
        if (!res.ok) {
            failedUntilMs.set(name, monotonicNow() + FAILED_PEER_PAUSE_MS);
            metrics.recordTopicPull(topic, res.error.kind, 0, tookMs);
            log("warn", "topic-pull-failed", { topic, peer: name, error: res.error, fromRevision, tookMs });
            return;
        }
        toTopicEvents(res.value, monotonicNow()).forEach(topicStore.dispatch);
        const { era = 0, revision, records, carried = [] } = res.value;
        if (peerVersion?.carried !== undefined && era === topicStore.get().era) {
            rememberCarried(peerVersion.carried);
        }
        pauseMs = PULL_INTERVAL_MS;
        metrics.recordTopicPull(topic, "ok", records.length, tookMs);
        log("info", "topic-pulled", {
            topic,
            peer: name,
            fromEra,
            era,
            fromRevision,
            revision,
            records: records.length,
            carried: carried.length,
            tookMs,
        });
    };
    return startPeriodicTask(pull, () => pauseMs, err => {
        log("error", "topic-pull-failed", { topic, reason: String(err) });
    });
};
