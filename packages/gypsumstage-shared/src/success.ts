import type { Result } from "./Result.js";

/**
 * Wraps the value of an operation that succeeded.
 *
 * @param value - what the operation produced
 * @returns a result tagged as successful
 */
export const success = <Value>(value: Value): Result<Value, never> => ({ ok: true, value });
