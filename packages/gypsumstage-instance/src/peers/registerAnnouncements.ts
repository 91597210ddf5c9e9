import type { Store } from "@gypsumstage/shared/Store";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { TopicAnnouncement } from "@gypsumstage/steering/traffic/TopicAnnouncement";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";
import type { PeerExchange } from "./PeerExchange.js";

/** Time between two announcements while nothing changes. */
const ANNOUNCEMENT_INTERVAL_MS = 500;
/** Time after a change until it is announced; changes within it share an announcement. */
const CHANGE_DELAY_MS = 50;

/**
 * Announces what this instance holds while it reads the store: at intervals, so that others notice when it ends, and soon
 * after each change of a topic.
 *
 * @param createAnnouncement - creates this instance's announcement; without `storeAgeMs` none is sent
 * @param listTargets - returns the instances that get the announcements
 * @param topicStores - this instance's copies of the topics
 * @param announce - sends an announcement
 * @returns the function that stops the announcements
 */
export const registerAnnouncements = (
    createAnnouncement: () => TopicAnnouncement,
    listTargets: () => readonly PeerState[],
    topicStores: readonly Store<TopicState, TopicEvent>[],
    announce: PeerExchange["announce"],
): () => void => {
    let timer: NodeJS.Timeout | undefined;
    let isChangePending = false;
    const schedule = (delayMs: number): void => {
        clearTimeout(timer);
        timer = setTimeout(send, delayMs);
    };
    const send = (): void => {
        isChangePending = false;
        const announcement = createAnnouncement();
        if (announcement.storeAgeMs !== undefined) {
            announce(announcement, listTargets());
        }
        schedule(ANNOUNCEMENT_INTERVAL_MS);
    };
    const unregisterListeners = topicStores.map(topicStore =>
        topicStore.registerListener((state, before) => {
            const isChanged = state.digest !== before.digest || state.era !== before.era
                || state.carried !== before.carried;
            if (isChanged && !isChangePending) {
                isChangePending = true;
                schedule(CHANGE_DELAY_MS);
            }
        })
    );
    schedule(ANNOUNCEMENT_INTERVAL_MS);
    return () => {
        clearTimeout(timer);
        unregisterListeners.forEach(unregister => unregister());
    };
};
