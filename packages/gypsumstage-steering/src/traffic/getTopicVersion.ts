import { computeCarriedDigest } from "./computeCarriedDigest.js";
import type { TopicState } from "./TopicState.js";
import type { TopicVersion } from "./TopicVersion.js";

/**
 * Returns the version of this instance's copy of a topic, which is reported to other instances.
 *
 * @param state - the copy of the topic
 * @returns the version, or undefined before the first listing
 */
export const getTopicVersion = (state: TopicState): TopicVersion | undefined =>
    state.changedRevision === undefined ? undefined : {
        era: state.era,
        revision: state.changedRevision,
        count: state.records.size,
        digest: state.digest,
        ...(state.carried.size === 0 ? {} : { carried: computeCarriedDigest(state.carried) }),
    };
