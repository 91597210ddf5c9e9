import type { HeaderFields } from "../reply/HeaderFields.js";

const LINE_OVERHEAD_BYTES = 4;
const FIXED_OVERHEAD_BYTES = 64;

/**
 * Estimates the size of a message's head on the wire, rounded up.
 *
 * @param headers - the header fields
 * @returns the size in bytes
 */
export const estimateHeadBytes = (headers: HeaderFields): number =>
    Object.entries(headers).reduce(
        (sum, [name, value]) =>
            sum + [value].flat().reduce((total, text) =>
                total + name.length + text.length + LINE_OVERHEAD_BYTES, 0),
        FIXED_OVERHEAD_BYTES * 4,
    );
