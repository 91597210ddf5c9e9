import type { ReachEvent } from "./ReachEvent.js";
import type { ServiceReach } from "./ServiceReach.js";

/**
 * Applies an observation of the links to a service's endpoints. Only a check decides whether the instance is cut off: a
 * failure may be the endpoint's, and responses still arrive on old connections while no new ones can be opened.
 *
 * @param reach - what was known so far
 * @param event - the observation
 * @returns what is known next
 */
export const updateReach = (reach: ServiceReach, event: ReachEvent): ServiceReach => {
    switch (event.kind) {
        case "answered":
            return { ...reach, contactAtMs: event.nowMs };
        case "failed":
            return { ...reach, hasFailed: true };
        case "checked":
            return {
                isCut: !event.isReached,
                contactAtMs: event.isReached ? event.nowMs : reach.contactAtMs,
                checkedAtMs: event.nowMs,
                hasFailed: false,
            };
    }
};
