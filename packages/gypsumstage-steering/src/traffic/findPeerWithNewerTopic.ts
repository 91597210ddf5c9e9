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
    const { era = 0 } = peerVersion;
    if (era !== own.era) {
        return era > own.era;
    }
    if (peerVersion.digest === own.digest) {
        return false;
    }
    if (peerVersion.revision > own.revision) {
        return true;
    }
    return peerVersion.revision === own.revision && peerVersion.count < own.records.size;
};

const hasUnknownCarried = (
    peerVersion: TopicVersion | undefined,
    own: TopicState,
    knownCarried: ReadonlySet<number>,
): boolean =>
    peerVersion?.carried !== undefined && peerVersion.era === own.era
    && !knownCarried.has(peerVersion.carried);

/**
 * Finds the nearest peer that has a more recent copy of a topic than this instance, or one that carries records of an
 * earlier era which this instance has not considered.
 *
 * @param topic - the topic to compare
 * @param own - this instance's copy of the topic
 * @param knownCarried - digests of the carried records that this instance has considered, its own included
 * @param livePeers - the peers with a recent report
 * @param location - data centre and region of this instance
 * @returns the peer, or undefined when none has a more recent copy
 */
export const findPeerWithNewerTopic = (
    topic: Topic,
    own: TopicState,
    knownCarried: ReadonlySet<number>,
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
        .filter(({ report }) =>
            isMoreRecent(report.topics[topic], own)
            || hasUnknownCarried(report.topics[topic], own, knownCarried)
        )
        .sort((left, right) => distance(left) - distance(right))[0];
};
