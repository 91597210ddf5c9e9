import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { TopicAnnouncement } from "@gypsumstage/steering/traffic/TopicAnnouncement";

/** The other instances, with what each told last. Times are monotonic, in milliseconds. */
export interface PeerRegistry {
    /** Returns all recorded instances, live or not. */
    readonly all: () => readonly PeerState[];
    /** Number of recorded instances. */
    readonly size: () => number;
    /** Returns the instances that count as live. */
    readonly live: () => readonly PeerState[];
    /** Returns the live instances that send this one their full reports. */
    readonly reporting: () => readonly PeerState[];
    /** Returns the instances of builds that know no membership, live or not. */
    readonly legacy: () => readonly PeerState[];
    readonly find: (name: string) => PeerState | undefined;
    readonly recordReport: (report: PeerReport, nowMs: number) => void;
    readonly recordAnnouncement: (announcement: TopicAnnouncement, nowMs: number) => void;
    /** Takes over the records of the membership. */
    readonly syncMembers: () => void;
}
