import { describeError } from "@gypsumstage/shared/describeError";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { TopicAnnouncement } from "@gypsumstage/steering/traffic/TopicAnnouncement";
import type { Notice } from "../notices/Notice.js";
import { isMemberRecord } from "./isMemberRecord.js";
import type { NoticeMessage } from "./NoticeMessage.js";
import { NOTICES_METHOD } from "./NOTICES_METHOD.js";
import type { PeerMessage } from "./PeerMessage.js";
import type { ReportError } from "./ReportError.js";
import { SUMMARIES_METHOD } from "./SUMMARIES_METHOD.js";
import type { SummaryMessage } from "./SummaryMessage.js";
import { TOPICS_METHOD } from "./TOPICS_METHOD.js";

const isReport = (params: Partial<PeerReport> | undefined): params is PeerReport =>
    typeof params?.name === "string"
    && typeof params.internalAddress === "string"
    && typeof params.address === "string"
    && typeof params.topics === "object"
    && typeof params.inFlight === "object"
    && Array.isArray(params.peers);

const isAnnouncement = (params: Partial<TopicAnnouncement> | undefined): params is TopicAnnouncement =>
    typeof params?.name === "string"
    && typeof params.incarnation === "string"
    && typeof params.topics === "object";

const isNotice = (notice: Partial<Notice> | undefined): boolean =>
    typeof notice?.topic === "string" && typeof notice.content === "object";

const areNotices = (params: Partial<NoticeMessage> | undefined): params is NoticeMessage =>
    Array.isArray(params?.notices) && params.notices.every(isNotice);

const isSummaryMessage = (params: Partial<SummaryMessage> | undefined): params is SummaryMessage =>
    isMemberRecord(params?.sender) && Array.isArray(params.summaries)
    && params.summaries.every(summary =>
        typeof summary.dataCentre === "string" && typeof summary.author === "string"
        && typeof summary.digest === "number" && typeof summary.ageMs === "number"
        && typeof summary.demand === "object"
    );

const parseParams = (
    method: string | undefined,
    params: Partial<PeerReport & NoticeMessage & SummaryMessage> | undefined,
): PeerMessage | undefined => {
    if (method === NOTICES_METHOD) {
        return areNotices(params) ? { kind: "notices", notices: params.notices } : undefined;
    }
    if (method === TOPICS_METHOD) {
        return isAnnouncement(params) ? { kind: "announcement", announcement: params } : undefined;
    }
    if (method === SUMMARIES_METHOD) {
        return isSummaryMessage(params) ? { kind: "summaries", message: params } : undefined;
    }
    return isReport(params) ? { kind: "report", report: params } : undefined;
};

/**
 * Parses a message of a peer, a JSON-RPC notification.
 *
 * @param bytes - the datagram
 * @returns the report or announcement, or why the datagram is malformed
 */
export const parsePeerMessage = (bytes: Buffer): Result<PeerMessage, ReportError> => {
    try {
        const { method, params } = JSON.parse(bytes.toString("utf8")) as {
            readonly method?: string;
            readonly params?: Partial<PeerReport & NoticeMessage & SummaryMessage>;
        };
        const message = parseParams(method, params);
        return message === undefined
            ? failure({ kind: "report-malformed", reason: "fields are missing" })
            : success(message);
    }
    catch (err) {
        return failure({ kind: "report-malformed", reason: describeError(err) });
    }
};
