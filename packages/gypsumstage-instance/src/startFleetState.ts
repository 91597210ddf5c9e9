import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import { createStore } from "@gypsumstage/shared/createStore";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import { deriveFleetView } from "@gypsumstage/steering/traffic/deriveFleetView";
import { EMPTY_FLEET_VIEW } from "@gypsumstage/steering/traffic/EMPTY_FLEET_VIEW";
import { EMPTY_TOPIC } from "@gypsumstage/steering/traffic/EMPTY_TOPIC";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import { getTopicVersion } from "@gypsumstage/steering/traffic/getTopicVersion";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";
import { updateTopic } from "@gypsumstage/steering/traffic/updateTopic";
import type { FleetState } from "./FleetState.js";
import { listViewChanges } from "./listViewChanges.js";

const EXPIRY_CHECK_INTERVAL_MS = 100;
const TOPICS: readonly Topic[] = ["policy", "endpoints", "evacuations"];

/**
 * Starts the fleet state: a state store for each topic, and a view that is derived again whenever a topic changes.
 *
 * @param onChange - called with each new view and the one before
 * @param log - receives each difference between two views
 * @returns the fleet state, empty until the topics are read
 */
export const startFleetState = (
    onChange: (view: FleetView, before: FleetView) => void,
    log: Log,
): FleetState => {
    const createTopicStore = (): Store<TopicState, TopicEvent> =>
        createStore<TopicState, TopicEvent>(EMPTY_TOPIC, updateTopic);
    const topics = {
        policy: createTopicStore(),
        endpoints: createTopicStore(),
        evacuations: createTopicStore(),
    };
    let view = EMPTY_FLEET_VIEW;
    const updateView = (): void => {
        const before = view;
        view = deriveFleetView(before, {
            policy: topics.policy.get(),
            endpoints: topics.endpoints.get(),
            evacuations: topics.evacuations.get(),
        });
        for (const change of listViewChanges(before, view)) {
            log("info", "view-changed", { ...change });
        }
        onChange(view, before);
    };
    const unregisterListeners = TOPICS.map(topic =>
        topics[topic].registerListener((state, before) => {
            const isSame = state.records === before.records && state.carried === before.carried
                && state.revision !== undefined
                && before.revision !== undefined;
            if (!isSame) {
                updateView();
            }
        })
    );
    const timer = setInterval(() => {
        const nowMs = monotonicNow();
        TOPICS.forEach(topic => topics[topic].dispatch({ kind: "time-passed", nowMs }));
    }, EXPIRY_CHECK_INTERVAL_MS);
    return {
        topics,
        view: () => view,
        topicVersions: () => {
            const versions: Partial<Record<Topic, NonNullable<PeerReport["topics"]["policy"]>>> = {};
            for (const topic of TOPICS) {
                const version = getTopicVersion(topics[topic].get());
                if (version !== undefined) {
                    versions[topic] = version;
                }
            }
            return versions;
        },
        stop: () => {
            clearInterval(timer);
            unregisterListeners.forEach(unregister => unregister());
        },
    };
};
