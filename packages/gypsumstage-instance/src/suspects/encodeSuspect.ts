import type { SuspectRequest } from "@gypsumstage/steering/traffic/SuspectRequest";
import type { SuspectNotice } from "./SuspectNotice.js";

/**
 * Encodes a suspect request for other instances, whose clocks are not comparable.
 *
 * @param suspect - the request
 * @param nowMs - current monotonic time
 * @returns the notice
 */
export const encodeSuspect = (suspect: SuspectRequest, nowMs: number): SuspectNotice => ({
    digest: suspect.digest,
    headHash: suspect.headHash,
    ended: [...suspect.endedAtMs].map(([run, atMs]) => [run, Math.round(nowMs - atMs)]),
    ...(suspect.answeredAtMs === undefined
        ? {}
        : { answeredAgeMs: Math.round(nowMs - suspect.answeredAtMs) }),
});
