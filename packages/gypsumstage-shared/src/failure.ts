import type { Result } from "./Result.js";

/**
 * Wraps the error of an operation that failed.
 *
 * @param error - the tagged error
 * @returns a result tagged as failed
 */
export const failure = <Failure>(error: Failure): Result<never, Failure> => ({ ok: false, error });
