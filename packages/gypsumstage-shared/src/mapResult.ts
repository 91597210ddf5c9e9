import type { Result } from "./Result.js";
import { success } from "./success.js";

/**
 * Applies a function to the value of a successful result.
 *
 * @param res - the result of an operation
 * @param transform - returns the new value
 * @returns a successful result with the new value, or the unchanged failure
 */
export const mapResult = <From, To, Failure>(
    res: Result<From, Failure>,
    transform: (value: From) => To,
): Result<To, Failure> => res.ok ? success(transform(res.value)) : res;
