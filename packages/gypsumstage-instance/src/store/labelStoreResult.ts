import type { Result } from "@gypsumstage/shared/Result";
import type { StoreError } from "./StoreError.js";

/**
 * Names the result of a call to the store in metrics.
 *
 * @param res - the result
 * @returns `answered`, or the kind of the error
 */
export const labelStoreResult = (res: Result<unknown, StoreError>): string =>
    res.ok ? "answered" : res.error.kind;
