import type { PeerReport } from "./PeerReport.js";

/**
 * Short message of an instance that reads the store. Its interval does not depend on the size of the fleet, so neither does
 * the time until others hear of a change, or of the end of the reader.
 */
export type TopicAnnouncement = Pick<
    PeerReport,
    "name" | "incarnation" | "isReady" | "topics" | "storeAgeMs"
>;
