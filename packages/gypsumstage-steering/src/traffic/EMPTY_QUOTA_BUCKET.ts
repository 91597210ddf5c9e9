import type { QuotaBucket } from "./QuotaBucket.js";

/** A bucket without a share of its cap. */
export const EMPTY_QUOTA_BUCKET: QuotaBucket = { tokens: 0, refilledAtMs: 0, share: 0, shareUntilMs: 0 };
