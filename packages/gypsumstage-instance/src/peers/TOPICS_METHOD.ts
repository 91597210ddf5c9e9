/** JSON-RPC method of announcements; every other method counts as a report. */
export const TOPICS_METHOD = "peer.topics";
