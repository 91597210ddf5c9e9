import type { Route } from "@gypsumstage/domain/traffic/Route";
import { authenticateRequest } from "@gypsumstage/steering/traffic/authenticateRequest";
import { judgeKey } from "@gypsumstage/steering/traffic/judgeKey";
import type { KeyTrustLimits } from "@gypsumstage/steering/traffic/KeyTrustLimits";
import type { KeyVerdict } from "@gypsumstage/steering/traffic/KeyVerdict";
import { requiresKeys } from "@gypsumstage/steering/traffic/requiresKeys";
import type { TimeReading } from "@gypsumstage/steering/traffic/TimeReading";
import { findWorkspaces } from "../request/findWorkspaces.js";
import type { ConfirmationRecord } from "./ConfirmationRecord.js";
import type { KeyTrust } from "./KeyTrust.js";
import type { PolicyCopy } from "./PolicyCopy.js";
import { UNKNOWN_KEY_REPLY } from "./UNKNOWN_KEY_REPLY.js";
import { waitMs } from "./waitMs.js";

/** Longest time that a request waits for a confirmation. */
const MAX_WAIT_MS = 300;
/** Another instance may confirm keys at once; this one tries again about then. */
const UNCONFIRMED_REPLY: KeyTrust["unconfirmedReply"] = {
    kind: "refused",
    reason: "key-unconfirmed",
    retryAfterMs: 500,
};

/**
 * Creates the decision whether keys are accepted. Without limits, the copy of the configuration is relied on as it is.
 *
 * @param copy - this instance's copy of the configuration
 * @param isForWorkspaces - returns whether the settings call for workspaces
 * @param record - its confirmations
 * @param getLimits - returns how old a confirmation may become; undefined where keys are not revoked strictly
 * @param startRound - waits for the end of an attempt at a confirmation that begins after the call
 * @param now - reads the clocks
 * @returns the decision
 */
export const createKeyTrust = (
    copy: Pick<PolicyCopy, "view">,
    isForWorkspaces: () => boolean,
    record: Pick<ConfirmationRecord, "ageMs" | "isConfirmedSince">,
    getLimits: () => KeyTrustLimits | undefined,
    startRound: () => Promise<void>,
    now: () => TimeReading,
): KeyTrust => {
    const judge = (
        route: Pick<Route, "isPublic">,
        keyDigest: string | undefined,
        arrivedAtMs: number,
    ): KeyVerdict => {
        const { policy } = copy.view();
        if (policy === undefined) {
            return { kind: "unconfirmed" };
        }
        const directory = {
            isKeyRequired: requiresKeys(policy, isForWorkspaces()),
            workspacesByKey: findWorkspaces(policy),
        };
        const authentication = authenticateRequest(route, directory, keyDigest);
        const limits = getLimits();
        return limits === undefined ? authentication : judgeKey(authentication, keyDigest !== undefined, {
            ageMs: record.ageMs(now()),
            maxAgeMs: limits.maxAgeMs,
            isConfirmedSinceArrival: record.isConfirmedSince(arrivedAtMs),
        });
    };
    return {
        judge,
        confirm: () => Promise.race([startRound(), waitMs(MAX_WAIT_MS)]),
        findRefusal: ({ keyDigest, workspace, arrivedAtMs }) => {
            if (workspace === undefined || getLimits() === undefined) {
                return undefined;
            }
            const verdict = judge({ isPublic: false }, keyDigest, arrivedAtMs);
            switch (verdict.kind) {
                case "anonymous":
                    return undefined;
                case "unknown-key":
                    return UNKNOWN_KEY_REPLY;
                case "unconfirmed":
                    return UNCONFIRMED_REPLY;
                case "workspace":
                    // The request already states the workspace to which its key belonged on arrival.
                    return verdict.workspace.name === workspace.name ? undefined : UNCONFIRMED_REPLY;
            }
        },
        unconfirmedReply: UNCONFIRMED_REPLY,
    };
};
