import type { DataCentreSummary } from "@gypsumstage/steering/traffic/DataCentreSummary";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { TopicAnnouncement } from "@gypsumstage/steering/traffic/TopicAnnouncement";
import type { Notice } from "../notices/Notice.js";
import type { NoticeTopic } from "../notices/NoticeTopic.js";
import type { MemberQuery } from "./MemberQuery.js";

/** The latest reports of the other instances. */
export interface PeerExchange {
    /** Returns the instances that count as live. */
    readonly live: () => readonly PeerState[];
    /** Returns all recorded instances, live or not. */
    readonly all: () => readonly PeerState[];
    /** Returns the live instances that send this one their full reports. */
    readonly reporting: () => readonly PeerState[];
    /** Summaries of the other data centres that were heard lately. */
    readonly summaries: () => readonly DataCentreSummary[];
    /** Records of the instances of a data centre, as this instance knows them. */
    readonly readMembers: (query: MemberQuery) => readonly MemberRecord[];
    /** Spreads that instances are gone or not ready. */
    readonly membersTopic: NoticeTopic;
    /** Sends an announcement to the given instances. */
    readonly announce: (announcement: TopicAnnouncement, targets: readonly PeerState[]) => void;
    /** Sends notices to an instance, in one message. */
    readonly notify: (notices: readonly Notice[], target: PeerState) => void;
    /** Registers a function that is called with the notices of each message. */
    readonly registerNoticeListener: (listener: (notices: readonly Notice[]) => void) => () => void;
    /** False while this instance does not know the others: in its first moments, and beside gone seeds until it finds one. */
    readonly isSettled: () => boolean;
    /**
     * Instances that share a fleet-wide limit: the live ones, those silent but not yet removed, and this one; undefined while there
     * are others by the settings and this instance has found none.
     */
    readonly fleetSize: () => number | undefined;
    /** Requests in flight at an endpoint from the instances that report to this one. */
    readonly inFlight: (endpointId: string) => number;
    /** Stops sending reports and closes the socket. */
    readonly stop: () => void;
}
