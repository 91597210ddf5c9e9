import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { TimeReading } from "@gypsumstage/steering/traffic/TimeReading";
import { uptime } from "node:os";

const MS_PER_SECOND = 1_000;

/**
 * Reads the clocks of this machine. The time since its start is that of CLOCK_BOOTTIME, which also counts while it is suspended.
 *
 * @returns the reading
 */
export const readTime = (): TimeReading => ({
    monotonicMs: monotonicNow(),
    bootMs: uptime() * MS_PER_SECOND,
    wallMs: Date.now(),
});
