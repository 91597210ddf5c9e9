import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { TopicAnnouncement } from "@gypsumstage/steering/traffic/TopicAnnouncement";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";
import type { PeerExchange } from "./PeerExchange.js";

/** Time after a change until it is announced; changes within it share an announcement. */
const CHANGE_DELAY_MS = 50;
/** Time after a read of the store until it is announced; the reads of several topics share an announcement. */
const READ_DELAY_MS = 5;

/**
 * Announces what this instance holds while it reads the store: at intervals, soon after each change of a topic, and soon after
 * each read of the store, so that others know up to when they can rely on it.
 *
 * @param createAnnouncement - creates this instance's announcement; undefined while it doesn't read the store
 * @param listTargets - returns the instances that get the announcements
 * @param topicStores - this instance's copies of the topics
 * @param getIntervalMs - returns the longest time between two announcements, in milliseconds
 * @param announce - sends an announcement
 * @returns the function to call after each read of the store, and the one that stops the announcements
 */
export const registerAnnouncements = (
    createAnnouncement: () => TopicAnnouncement | undefined,
    listTargets: () => readonly PeerState[],
    topicStores: readonly Store<TopicState, TopicEvent>[],
    getIntervalMs: () => number,
    announce: PeerExchange["announce"],
): { readonly onRead: () => void; readonly stop: () => void; } => {
    let timer: NodeJS.Timeout | undefined;
    let dueAtMs = Number.POSITIVE_INFINITY;
    const schedule = (delayMs: number): void => {
        const nextAtMs = monotonicNow() + delayMs;
        if (nextAtMs < dueAtMs) {
            dueAtMs = nextAtMs;
            clearTimeout(timer);
            timer = setTimeout(send, delayMs);
        }
    };
    const send = (): void => {
        dueAtMs = Number.POSITIVE_INFINITY;
        const announcement = createAnnouncement();
        if (announcement !== undefined) {
            announce(announcement, listTargets());
        }
        schedule(getIntervalMs());
    };
    const unregisterListeners = topicStores.map(topicStore =>
        topicStore.registerListener((state, before) => {
            const isChanged = state.digest !== before.digest || state.era !== before.era
                || state.carried !== before.carried;
            if (isChanged) {
                schedule(CHANGE_DELAY_MS);
            }
        })
    );
    schedule(getIntervalMs());
    return {
        onRead: () => schedule(READ_DELAY_MS),
        stop: () => {
            clearTimeout(timer);
            unregisterListeners.forEach(unregister => unregister());
        },
    };
};
