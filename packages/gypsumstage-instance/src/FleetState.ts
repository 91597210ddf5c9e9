import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { Store } from "@gypsumstage/shared/Store";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";

/** An instance's copy of the store's topics, and the fleet view derived from them. */
export interface FleetState {
    readonly topics: Readonly<Record<Topic, Store<TopicState, TopicEvent>>>;
    readonly view: () => FleetView;
    /** Version of the copy of each topic that was read at least once, for the peer report. */
    readonly topicVersions: () => PeerReport["topics"];
    /** Stops the expiry checks and the listeners on the topics. */
    readonly stop: () => void;
}
