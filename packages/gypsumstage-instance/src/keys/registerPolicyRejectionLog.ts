import type { Log } from "@gypsumstage/shared/Log";
import type { Store } from "@gypsumstage/shared/Store";
import { listRejectedPolicies } from "@gypsumstage/steering/traffic/listRejectedPolicies";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";
import type { PolicyCopy } from "./PolicyCopy.js";

/**
 * Logs each configuration that is not accepted, once for each of its revisions, and the version that stays in force.
 *
 * @param topic - this instance's copy of the configurations
 * @param view - returns what is in force
 * @param log - receives the rejected configurations
 * @returns the function that stops it
 */
export const registerPolicyRejectionLog = (
    topic: Pick<Store<TopicState, TopicEvent>, "registerListener">,
    view: PolicyCopy["view"],
    log: Log,
): () => void => {
    let loggedRevision = -1;
    return topic.registerListener(state => {
        for (const rejected of listRejectedPolicies(state)) {
            if (rejected.revision > loggedRevision) {
                loggedRevision = rejected.revision;
                log("error", "policy-rejected", { ...rejected, versionInForce: view().policy?.version });
            }
        }
    });
};
