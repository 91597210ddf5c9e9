import type { AnswerHeaders } from "../answer/AnswerHeaders.js";

const LINE_BYTES = 4;
const START_BYTES = 64;

/**
 * Estimates the size of a message's head on the wire, rounded up.
 *
 * @param headers - the header fields
 * @returns bytes
 */
export const countHeadBytes = (headers: AnswerHeaders): number =>
    Object.entries(headers).reduce(
        (sum, [name, value]) =>
            sum + [value].flat().reduce((part, each) => part + name.length + each.length + LINE_BYTES, 0),
        START_BYTES * 4,
    );
