import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { PeerState } from "./PeerState.js";
import type { TopicState } from "./TopicState.js";

/**
 * Returns up to when this instance's copy of a topic is known to be complete. A peer's read of the store confirms it when
 * the copy has all that the peer's had.
 *
 * @param confirmedAtMs - the time so far, monotonic, in milliseconds; undefined when the copy was never confirmed
 * @param topic - the topic
 * @param own - this instance's copy of the topic
 * @param peers - the other instances
 * @returns the time; the given one when no peer's read is later
 */
export const confirmCopy = (
    confirmedAtMs: number | undefined,
    topic: Topic,
    own: TopicState,
    peers: readonly PeerState[],
): number | undefined => {
    const { revision } = own;
    let latestAtMs = confirmedAtMs;
    for (const { report, heardAtMs } of peers) {
        const version = report.topics[topic];
        if (report.storeAgeMs === undefined || version === undefined || revision === undefined) {
            continue;
        }
        const readAtMs = heardAtMs - report.storeAgeMs;
        const isComplete = (version.era ?? 0) === own.era
            && (revision >= version.revision || version.digest === own.digest);
        if (isComplete && (latestAtMs === undefined || readAtMs > latestAtMs)) {
            latestAtMs = readAtMs;
        }
    }
    return latestAtMs;
};
