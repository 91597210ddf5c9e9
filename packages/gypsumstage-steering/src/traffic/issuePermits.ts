import { refillBucket } from "../refillBucket.js";
import type { PermitDecision } from "./PermitDecision.js";
import type { PermitState } from "./PermitState.js";

/** Time over which unused permits accumulate; together with their validity it bounds how many are used at once. */
const ACCUMULATION_MS = 500;
const VALIDITY_MS = 500;
/** Rate that is issued when the limit is lower, so that its end is noticed. */
const MIN_RATE_PER_SECOND = 0.2;
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 5_000;
/** Time for which an instance counts among those that share the permits; a denied one is back within it. */
const HOLDER_WINDOW_MS = MAX_RETRY_AFTER_MS;
const MS_PER_SECOND = 1_000;

const createState = (nowMs: number): PermitState => ({
    bucket: { tokens: 0, refilledAtMs: nowMs },
    requestedAtMs: new Map(),
});

/**
 * Decides on a request for permits. All instances get their permits from one bucket, so the limit holds over their sum and
 * goes to whoever has requests, however few there are. At a high rate several permits are granted at once. The bucket
 * starts empty, because another instance may have issued permits until now. A denied instance waits for as many permits
 * as there are instances that want some, so that they don't all come back for the next one.
 *
 * @param state - the state so far; undefined when no permits were issued yet
 * @param holder - name of the instance that requests permits
 * @param ratePerSecond - permits to issue per second
 * @param nowMs - current monotonic time
 * @returns the decision and the next state
 */
export const issuePermits = (
    state: PermitState | undefined,
    holder: string,
    ratePerSecond: number,
    nowMs: number,
): { readonly decision: PermitDecision; readonly state: PermitState; } => {
    const previous = state ?? createState(nowMs);
    const rate = Math.max(MIN_RATE_PER_SECOND, ratePerSecond);
    const capacity = Math.max(1, rate * ACCUMULATION_MS / MS_PER_SECOND);
    const bucket = refillBucket(previous.bucket, nowMs, rate, capacity);
    const recent = [...previous.requestedAtMs].filter(([, atMs]) => nowMs - atMs < HOLDER_WINDOW_MS);
    const requestedAtMs = new Map([...recent, [holder, nowMs]]);
    if (bucket.tokens >= 1) {
        const count = Math.max(1, Math.floor(bucket.tokens / requestedAtMs.size));
        return {
            decision: { kind: "granted", count, validForMs: VALIDITY_MS },
            state: { bucket: { ...bucket, tokens: bucket.tokens - count }, requestedAtMs },
        };
    }
    const waitMs = (requestedAtMs.size - bucket.tokens) / rate * MS_PER_SECOND;
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    return {
        decision: { kind: "denied", retryAfterMs },
        state: { bucket, requestedAtMs },
    };
};
