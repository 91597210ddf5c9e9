const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/**
 * Returns whether a response has no body, whatever its head says of a length.
 *
 * @param method - method of the request
 * @param status - status of the response
 * @returns true for responses to HEAD, and for statuses that allow no body
 */
export const hasNoBody = (method: string | undefined, status: number): boolean =>
    method === "HEAD" || status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED;
