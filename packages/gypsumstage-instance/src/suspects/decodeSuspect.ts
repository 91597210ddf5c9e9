import type { SuspectRequest } from "@gypsumstage/steering/traffic/SuspectRequest";
import type { SuspectNotice } from "./SuspectNotice.js";

const isEndedRun = (entry: unknown): boolean =>
    Array.isArray(entry) && typeof entry[0] === "string" && typeof entry[1] === "number";

const isSuspectNotice = (content: unknown): content is SuspectNotice => {
    const { digest, headHash, ended, answeredAgeMs } = content as Partial<SuspectNotice>;
    return typeof digest === "string" && typeof headHash === "number"
        && Array.isArray(ended) && ended.every(isEndedRun)
        && (answeredAgeMs === undefined || typeof answeredAgeMs === "number");
};

/**
 * Decodes a notice of another instance.
 *
 * @param content - the notice, not validated
 * @param nowMs - current monotonic time
 * @returns the suspect request; undefined when the notice is malformed
 */
export const decodeSuspect = (content: unknown, nowMs: number): SuspectRequest | undefined => {
    if (!isSuspectNotice(content)) {
        return undefined;
    }
    const { digest, headHash, ended, answeredAgeMs } = content;
    return {
        digest,
        headHash,
        endedAtMs: new Map(ended.map(([run, ageMs]) => [run, nowMs - ageMs])),
        answeredAtMs: answeredAgeMs === undefined ? undefined : nowMs - answeredAgeMs,
    };
};
