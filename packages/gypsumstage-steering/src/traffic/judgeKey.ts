import type { Authentication } from "./Authentication.js";
import type { KeyVerdict } from "./KeyVerdict.js";

/** What is known of this instance's copy of the configuration. */
interface CopyKnowledge {
    /** Age of its confirmation, in milliseconds; undefined when there is none. */
    readonly ageMs: number | undefined;
    /** Age from which on it is not relied on. */
    readonly maxAgeMs: number;
    /** Whether it is confirmed by a read of the store that began after the request arrived. */
    readonly isConfirmedSinceArrival: boolean;
}

/**
 * Decides whether an authentication by this instance's copy of the configuration may be relied on. A key is accepted only while
 * the copy is confirmed, and refused as unknown only if it has not been added since. Workload: keys are added and revoked
 * while instances lose the store.
 *
 * @param authentication - the decision by the copy
 * @param hasKey - whether the request has a key; without one it is refused by any configuration with workspaces
 * @param copy - what is known of the copy
 * @returns the authentication, or `unconfirmed`
 */
export const judgeKey = (
    authentication: Authentication,
    hasKey: boolean,
    { ageMs, maxAgeMs, isConfirmedSinceArrival }: CopyKnowledge,
): KeyVerdict => {
    if (authentication.kind === "anonymous") {
        return authentication;
    }
    if (ageMs === undefined || ageMs >= maxAgeMs) {
        return { kind: "unconfirmed" };
    }
    return authentication.kind === "unknown-key" && hasKey && !isConfirmedSinceArrival
        ? { kind: "unconfirmed" }
        : authentication;
};
