import type { InvariantCode } from "./InvariantCode.js";

/**
 * Stops the operation at hand when a condition that only a programming error can break does not hold.
 *
 * @param condition - what must hold
 * @param code - identifies the condition in logs and tests
 * @throws Error whose `code` property is the given code
 */
export const invariant: (condition: unknown, code: InvariantCode) => asserts condition = (
    condition,
    code,
) => {
    if (condition === undefined || condition === false) {
        throw Object.assign(new Error(`invariant ${code}`), { code });
    }
};
