import type { CopyAges } from "./CopyAges.js";

/** Handle on the topics that an instance keeps up to date. */
export interface FollowedTopics extends Pick<CopyAges, "storeAgeMs" | "copyAgeMs"> {
    readonly stop: () => void;
}
