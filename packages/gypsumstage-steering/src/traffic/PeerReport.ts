import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { PeerView } from "./PeerView.js";
import type { TopicVersion } from "./TopicVersion.js";

/** Status report that an instance sends to the other instances, up to several times a second. */
export interface PeerReport extends PeerView {
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
    /** Requests that it received within the window of its retry budget, by service. */
    readonly demand: Readonly<Record<string, number>>;
    /** Requests that it has placed since its start, by region. */
    readonly placed: Readonly<Record<string, number>>;
    /** Internal addresses of some of the instances from which it receives reports; other ones in each report. */
    readonly peers: readonly string[];
}
