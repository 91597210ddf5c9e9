import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import { confirmCopy } from "@gypsumstage/steering/traffic/confirmCopy";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";
import type { CopyAges } from "./CopyAges.js";
import type { TopicFollower } from "./TopicFollower.js";

/** A topic, this instance's copy of it, and its follower. */
interface FollowedTopic {
    readonly topic: Topic;
    readonly copy: Store<TopicState, TopicEvent>;
    readonly follower: Pick<TopicFollower, "confirmedAtMs">;
}

const findEarliest = (timesMs: readonly (number | undefined)[]): number | undefined =>
    timesMs.reduce((left, right) =>
        left === undefined || right === undefined ? undefined : Math.min(left, right)
    );

const findLatest = (timesMs: readonly (number | undefined)[]): number | undefined => {
    const known = timesMs.filter(timeMs => timeMs !== undefined);
    return known.length === 0 ? undefined : Math.max(...known);
};

/**
 * Creates the record of how old this instance's copies of the topics are.
 *
 * @param topics - the topics that the instance follows
 * @param isFollowing - returns whether this instance reads the store
 * @param getIntervalMs - returns the longest time between two responses of the store to a reader, in milliseconds
 * @returns the ages
 */
export const createCopyAges = (
    topics: readonly FollowedTopic[],
    isFollowing: () => boolean,
    getIntervalMs: () => number,
): CopyAges => {
    let confirmedByPeers: readonly (number | undefined)[] = topics.map(() => undefined);
    const storeAgeMs = (): number | undefined => {
        const readsMs = topics.map(each => each.follower.confirmedAtMs());
        const earliestMs = findEarliest(readsMs);
        const latestMs = findLatest(readsMs);
        if (earliestMs === undefined || latestMs === undefined || !isFollowing()) {
            return undefined;
        }
        // The watches end one after the other: the earliest read is overdue after an interval for each other topic.
        const spreadMs = (topics.length - 1) * getIntervalMs();
        return Math.round(monotonicNow() - Math.min(latestMs, earliestMs + spreadMs));
    };
    return {
        update: peers => {
            confirmedByPeers = topics.map(({ topic, copy }, index) =>
                confirmCopy(confirmedByPeers[index], topic, copy.get(), peers)
            );
        },
        storeAgeMs,
        copyAgeMs: () => {
            const confirmedAtMs = findEarliest(
                topics.map(({ follower }, index) =>
                    findLatest([follower.confirmedAtMs(), confirmedByPeers[index]])
                ),
            );
            if (confirmedAtMs === undefined) {
                return undefined;
            }
            const ageMs = monotonicNow() - confirmedAtMs;
            return Math.min(ageMs, storeAgeMs() ?? ageMs);
        },
    };
};
