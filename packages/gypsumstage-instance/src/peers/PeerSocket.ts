import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { TopicAnnouncement } from "@gypsumstage/steering/traffic/TopicAnnouncement";
import type { NoticeMessage } from "./NoticeMessage.js";
import type { SummaryMessage } from "./SummaryMessage.js";

/** Sends messages to other instances by datagram. */
export interface PeerSocket {
    /** Sends a JSON-RPC notification to each of the addresses, written `IP:port`; malformed ones are skipped. */
    readonly send: (
        method: string,
        params: PeerReport | TopicAnnouncement | NoticeMessage | SummaryMessage,
        addresses: readonly string[],
    ) => void;
    readonly close: () => void;
}
