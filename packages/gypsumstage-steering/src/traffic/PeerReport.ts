import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { PeerView } from "./PeerView.js";
import type { ReportedLoad } from "./ReportedLoad.js";
import type { TopicVersion } from "./TopicVersion.js";

/** Status report that an instance sends to the other instances, up to several times a second. */
export interface PeerReport extends PeerView {
    /** Generation and version of its member record; absent in reports of builds that know no membership. */
    readonly generation?: number;
    readonly version?: number;
    /** True when the receiver is one of the contacts that are to notice when these reports stop. */
    readonly isToContact?: boolean;
    /** True when the sender wants a report in return, because it does not know whether the receiver lives. */
    readonly isReplyWanted?: boolean;
    /** Random id of this run of the process; it changes with each restart. */
    readonly incarnation: string;
    /** `IP:port` on which it serves requests of other instances. */
    readonly internalAddress: string;
    /** `IP:port` on which it serves requests that other instances pass on; absent when it takes none. */
    readonly relayAddress?: string;
    readonly isReady: boolean;
    /** Version of its copy of each topic; absent for a topic that it has not listed yet. */
    readonly topics: Readonly<Partial<Record<Topic, TopicVersion>>>;
    /** Time since it last read the store, in milliseconds; undefined when it does not follow the store. */
    readonly storeAgeMs: number | undefined;
    /** Requests that it has in flight, by endpoint id. */
    readonly inFlight: Readonly<Record<string, number>>;
    /** Loads that endpoints stated to it since a few reports ago, by endpoint id; absent in reports of builds that read none. */
    readonly loads?: Readonly<Record<string, ReportedLoad>>;
    /** Requests that it received within the window of its retry budget, by service. */
    readonly demand: Readonly<Record<string, number>>;
    /** Requests that it has placed since its start, by region. */
    readonly placed: Readonly<Record<string, number>>;
    /** Internal addresses of some of the other instances, for builds that know no membership; other ones in each report. */
    readonly peers: readonly string[];
}
