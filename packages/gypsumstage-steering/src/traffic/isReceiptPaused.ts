import type { HeldResponse } from "./HeldResponse.js";

/** Responses of this size are received whatever else is held. */
const SMALL_RESPONSE_BYTES = 32_768;
/** A response whose endpoint sent nothing for this long does not keep others waiting. */
const QUIET_MS = 500;
/** Share of the memory beyond which large responses are received one at a time. */
const ONE_AT_A_TIME_SHARE = 0.5;
/** Share beyond which no large one is; the rest is for small ones. */
const NONE_SHARE = 0.9;

/**
 * Decides whether reading a response from its endpoint pauses. Workload: large responses whose callers read slowly. Small
 * responses go on, so that other callers are served. Of the large ones, one goes on as long as there is room, so that they
 * don't block each other.
 *
 * @param response - the response, which is being received
 * @param held - all responses that are held
 * @param usedBytes - memory that all of them take
 * @param limitBytes - memory that they may take
 * @param nowMs - current monotonic time
 * @returns true when its endpoint must wait
 */
export const isReceiptPaused = (
    response: HeldResponse,
    held: Iterable<HeldResponse>,
    usedBytes: number,
    limitBytes: number,
    nowMs: number,
): boolean => {
    if (response.bytes <= SMALL_RESPONSE_BYTES || usedBytes <= ONE_AT_A_TIME_SHARE * limitBytes) {
        return false;
    }
    const others = [...held].filter(each => each !== response);
    const isAnotherRead = others.some(each =>
        !each.isSending && !each.isPaused && each.bytes > SMALL_RESPONSE_BYTES
        && nowMs - each.progressAtMs < QUIET_MS
    );
    return isAnotherRead || (usedBytes > NONE_SHARE * limitBytes && others.some(each => each.isSending));
};
