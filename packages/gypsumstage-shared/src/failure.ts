import type { Result } from "./Result.js";

/**
 * Creates the result of a failed operation.
 *
 * @param error - a tagged error
 * @returns a result with `ok: false`
 */
export const failure = <Failure>(error: Failure): Result<never, Failure> => ({ ok: false, error });
