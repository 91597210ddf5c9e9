import type { Result } from "./Result.js";

/**
 * Creates the result of a successful operation.
 *
 * @param value - the value that the operation returns
 * @returns a result with `ok: true`
 */
export const success = <Value>(value: Value): Result<Value, never> => ({ ok: true, value });
