/** JSON-RPC method of announcements; a method other than this and that of notices counts as a report. */
export const TOPICS_METHOD = "peer.topics";
