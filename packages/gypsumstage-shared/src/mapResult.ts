import type { Result } from "./Result.js";
import { success } from "./success.js";

/**
 * Applies a function to the value of a result; a failure stays as it is.
 *
 * @param res - the result
 * @param change - makes the new value
 * @returns the result with the new value
 */
export const mapResult = <From, To, Failure>(
    res: Result<From, Failure>,
    change: (value: From) => To,
): Result<To, Failure> => res.ok ? success(change(res.value)) : res;
