import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { uptime } from "node:os";

const MS_PER_SECOND = 1_000;
/** Lead of another clock from which it counts: above the resolution of the machine's uptime. */
const MIN_LEAD_MS = 50;

/**
 * Creates a clock for what ends after a time, also when the process or the machine was suspended meanwhile: it takes the
 * largest elapsed time of the monotonic clock, the machine's uptime and the time of day. It never goes back.
 *
 * @param now - returns the monotonic time
 * @param uptimeMs - returns the time since the machine started, including suspension
 * @param dateMs - returns the time of day, which may be set
 * @returns the clock, in milliseconds
 */
export const createLeaseClock = (
    now = monotonicNow,
    uptimeMs = (): number => uptime() * MS_PER_SECOND,
    dateMs = Date.now,
): () => number => {
    let offsetMs = 0;
    let last = { monotonicMs: now(), uptimeMs: uptimeMs(), dateMs: dateMs() };
    const uptimeStartMs = last.uptimeMs - last.monotonicMs;
    let uptimeLeadMs = 0;
    return () => {
        const next = { monotonicMs: now(), uptimeMs: uptimeMs(), dateMs: dateMs() };
        const elapsedMs = next.monotonicMs - last.monotonicMs;
        const leadByUptimeMs = next.uptimeMs - next.monotonicMs - uptimeStartMs - uptimeLeadMs;
        const leadByDateMs = next.dateMs - last.dateMs - elapsedMs;
        const leadMs = Math.max(leadByUptimeMs, leadByDateMs);
        if (leadByUptimeMs > MIN_LEAD_MS) {
            uptimeLeadMs += leadByUptimeMs;
        }
        if (leadMs > MIN_LEAD_MS) {
            offsetMs += leadMs;
        }
        last = next;
        return next.monotonicMs + offsetMs;
    };
};
