import type { InvariantCode } from "./InvariantCode.js";

/**
 * Throws if a condition does not hold. Only a programming error can violate such a condition.
 *
 * @param condition - violated if it is `false` or `undefined`
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
