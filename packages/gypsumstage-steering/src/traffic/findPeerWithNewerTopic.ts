import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { PeerState } from "./PeerState.js";
import type { TopicState } from "./TopicState.js";
import type { TopicVersion } from "./TopicVersion.js";

const isMoreRecent = (peerVersion: TopicVersion | undefined, own: TopicState): boolean => {
    if (peerVersion === undefined) {
        return false;
    }
    if (own.revision === undefined) {
        return true;
    }
    if (peerVersion.digest === own.digest) {
        return false;
    }
    if (peerVersion.revision > own.revision) {
        return true;
    }
    return peerVersion.revision === own.revision && peerVersion.count < own.records.size;
};

/**
 * Finds the nearest peer that has a more recent copy of a topic than this instance.
 *
 * @param topic - the topic to compare
 * @param own - this instance's copy of the topic
 * @param livePeers - the peers with a recent report
 * @param location - data centre and region of this instance
 * @returns the peer, or undefined when none has a more recent copy
 */
export const findPeerWithNewerTopic = (
    topic: Topic,
    own: TopicState,
    livePeers: readonly PeerState[],
    location: { readonly dataCentre: string; readonly region: string; },
): PeerState | undefined => {
    const distance = (peer: PeerState): number => {
        if (peer.report.dataCentre === location.dataCentre) {
            return 0;
        }
        return peer.report.region === location.region ? 1 : 2;
    };
    return livePeers
        .filter(peer => isMoreRecent(peer.report.topics[topic], own))
        .sort((left, right) => distance(left) - distance(right))[0];
};
