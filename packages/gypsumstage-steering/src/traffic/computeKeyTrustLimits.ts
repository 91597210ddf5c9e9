import type { KeyTrustLimits } from "./KeyTrustLimits.js";

/** Share of the bound by which two clocks may differ in rate. */
const CLOCK_RATE_ERROR_SHARE = 0.02;
/** Allowance for the resolution of the clocks at both readings. */
const CLOCK_RESOLUTION_MS = 20;
/** A read by the reader and a question to it add up to 0.34 of the bound, so that 0.6 are left without the store. */
const MIN_INTERVAL_SHARE = 0.15;
const MAX_INTERVAL_SHARE = 0.19;
const GOOD_AGE_SHARE = 0.3;
const MIN_OWN_READ_SHARE = 0.4;
const MAX_OWN_READ_SHARE = 0.6;

/**
 * Computes how long the keys of workspaces may be trusted after a confirmation, so that a removed key runs no request that was
 * sent later than the bound after its removal. Workload: keys are revoked while some instances cannot reach the store or are
 * frozen.
 *
 * @param revokeBoundMs - time after which a removed key must not be accepted, in milliseconds
 * @returns the limits
 */
export const computeKeyTrustLimits = (revokeBoundMs: number): KeyTrustLimits => ({
    maxAgeMs: revokeBoundMs * (1 - CLOCK_RATE_ERROR_SHARE) - CLOCK_RESOLUTION_MS,
    minIntervalMs: MIN_INTERVAL_SHARE * revokeBoundMs,
    maxIntervalMs: MAX_INTERVAL_SHARE * revokeBoundMs,
    goodAgeMs: GOOD_AGE_SHARE * revokeBoundMs,
    minOwnReadAgeMs: MIN_OWN_READ_SHARE * revokeBoundMs,
    maxOwnReadAgeMs: MAX_OWN_READ_SHARE * revokeBoundMs,
});
