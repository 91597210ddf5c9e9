import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { TopicAnnouncement } from "@gypsumstage/steering/traffic/TopicAnnouncement";
import type { Notice } from "../notices/Notice.js";
import type { SummaryMessage } from "./SummaryMessage.js";

/** A datagram from another instance. */
export type PeerMessage =
    | { readonly kind: "report"; readonly report: PeerReport; }
    | { readonly kind: "summaries"; readonly message: SummaryMessage; }
    | { readonly kind: "announcement"; readonly announcement: TopicAnnouncement; }
    | { readonly kind: "notices"; readonly notices: readonly Notice[]; };
