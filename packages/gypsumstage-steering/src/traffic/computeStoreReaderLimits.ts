import type { StoreReaderLimits } from "./StoreReaderLimits.js";

/** Share of the bound in which a change is to be known; the rest is left for requests that were placed before. */
const KNOWN_SHARE = 0.5;
/** Shares of the time in which a change is to be known. What follows the last is left for reading the store. */
const CONFIRM_INTERVAL_SHARE = 0.48;
const MIN_STEP_IN_SHARE = 0.7;
const MAX_STEP_IN_SHARE = 0.84;

/**
 * Computes the limits by which instances rely on those that read the store, so that a change is known in time at each
 * instance that reaches the store, whichever others lose it.
 *
 * @param changeBoundMs - time in which a change of the store must be in force at all instances, in milliseconds
 * @returns the limits
 */
export const computeStoreReaderLimits = (changeBoundMs: number): StoreReaderLimits => {
    const knownMs = KNOWN_SHARE * changeBoundMs;
    return {
        confirmIntervalMs: CONFIRM_INTERVAL_SHARE * knownMs,
        minStepInAgeMs: MIN_STEP_IN_SHARE * knownMs,
        maxStepInAgeMs: MAX_STEP_IN_SHARE * knownMs,
    };
};
