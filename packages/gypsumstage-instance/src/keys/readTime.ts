import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { TimeReading } from "@gypsumstage/steering/traffic/TimeReading";

/**
 * Reads the clocks of this machine. The machine's uptime is not among them: where processes are isolated, it may be that of
 * another host, with another rate.
 *
 * @returns the reading
 */
export const readTime = (): TimeReading => ({ monotonicMs: monotonicNow(), wallMs: Date.now() });
