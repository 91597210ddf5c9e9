import type { CapBudget } from "./CapBudget.js";
import { QUOTA_PERMIT_VALIDITY_MS } from "./QUOTA_PERMIT_VALIDITY_MS.js";
import type { QuotaBounds } from "./QuotaBounds.js";

const MS_PER_SECOND = 1_000;
/** The rest covers requests that were sent evenly and arrive at their endpoints closer together. */
const STOCK_SHARE = 0.85;
/** Smallest stock relative to the bound: without any, no permit could ever accumulate. */
const MIN_STOCK_SHARE = 0.1;

/**
 * Computes how a usage cap is issued, for a steady rate as well as for a burst after a pause. Permits used in a window were
 * in stock at its start or were added during the window or during their validity before it, so the rate over that time
 * plus the stock must stay below the bound. Where the bound leaves no room for a stock, the rate is lowered.
 *
 * @param requestsPerSecond - rate of the cap
 * @param burst - requests that the cap allows at once in addition
 * @param bounds - the window, and by how much the cap may be exceeded in it
 * @returns the rate and the stock of all instances together
 */
export const computeCapBudget = (
    requestsPerSecond: number,
    burst: number,
    bounds: QuotaBounds,
): CapBudget => {
    const allowed = requestsPerSecond * bounds.windowMs / MS_PER_SECOND + burst;
    const bound = allowed * (1 + bounds.tolerance) + bounds.burst;
    const spanSeconds = (bounds.windowMs + QUOTA_PERMIT_VALIDITY_MS) / MS_PER_SECOND;
    const stock = Math.max(
        STOCK_SHARE * (bound - requestsPerSecond * spanSeconds),
        MIN_STOCK_SHARE * bound,
    );
    return { ratePerSecond: Math.min(requestsPerSecond, (bound - stock) / spanSeconds), stock };
};
