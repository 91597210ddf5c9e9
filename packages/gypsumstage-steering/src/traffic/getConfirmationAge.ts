import { computeElapsedMs } from "./computeElapsedMs.js";
import type { Confirmation } from "./Confirmation.js";
import type { TimeReading } from "./TimeReading.js";

/**
 * Returns the age of a confirmation at a moment.
 *
 * @param confirmation - the confirmation
 * @param at - the moment
 * @returns an upper bound of the age, in milliseconds; what the other instance stated, if it began after the moment
 */
export const getConfirmationAge = ({ from, addedMs }: Confirmation, at: TimeReading): number =>
    addedMs + (from.monotonicMs >= at.monotonicMs ? 0 : computeElapsedMs(from, at));
