import type { BodyError } from "./BodyError.js";
import { describeError } from "./describeError.js";
import { failure } from "./failure.js";
import { readLimitedBody } from "./readLimitedBody.js";
import type { Result } from "./Result.js";
import { success } from "./success.js";

/**
 * Reads a body as JSON, up to a size.
 *
 * @param body - the body
 * @param maxBytes - memory that it may take until it is parsed
 * @returns the value, undefined for an empty body; or why there is none
 * @throws what the body throws when its connection fails
 */
export const readJsonBody = async (
    body: AsyncIterable<Buffer>,
    maxBytes: number,
): Promise<Result<unknown, BodyError>> => {
    const read = await readLimitedBody(body, maxBytes);
    if (!read.ok) {
        return read;
    }
    try {
        return success(read.value.length === 0 ? undefined : JSON.parse(read.value.toString("utf8")));
    }
    catch (err) {
        return failure({ kind: "body-malformed", reason: describeError(err) });
    }
};
