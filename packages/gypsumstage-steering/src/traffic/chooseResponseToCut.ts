import type { HeldResponse } from "./HeldResponse.js";

/** A caller on a poor link takes some bytes within this time; a shorter time would cut callers that read steadily. */
const STALL_MS = 3_000;

const findFirst = <Response>(
    responses: readonly Response[],
    rank: (response: Response) => number,
): Response | undefined => [...responses].sort((left, right) => rank(left) - rank(right))[0];

/**
 * Chooses the response whose memory is freed. Workload: callers that read large responses slowly or not at all, beside
 * others. While a response waits to be received or the memory is full, the caller that has been idle longest is cut off if it
 * has taken nothing for some seconds. If there is no such caller and the memory is full, the largest response that is being
 * received is aborted, as its caller has got nothing of it yet and a safe request is sent again. If none is being received,
 * the caller that has been idle longest is cut off.
 *
 * @param responses - all responses that are held
 * @param usedBytes - memory that they take
 * @param limitBytes - memory that they may take
 * @param nowMs - current monotonic time
 * @returns the response; undefined when none has to
 */
export const chooseResponseToCut = <Response extends HeldResponse>(
    responses: readonly Response[],
    usedBytes: number,
    limitBytes: number,
    nowMs: number,
): Response | undefined => {
    const isFull = usedBytes > limitBytes;
    if (!isFull && !responses.some(each => each.isPaused)) {
        return undefined;
    }
    const idlest = findFirst(responses.filter(each => each.isSending), each => each.progressAtMs);
    if (idlest !== undefined && nowMs - idlest.progressAtMs >= STALL_MS) {
        return idlest;
    }
    return isFull
        ? findFirst(responses.filter(each => !each.isSending), each => -each.bytes) ?? idlest
        : undefined;
};
