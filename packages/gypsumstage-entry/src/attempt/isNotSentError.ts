import type { RequestBody } from "../read/RequestBody.js";

const CONNECT_CODES: ReadonlySet<string> = new Set([
    "UND_ERR_CONNECT_TIMEOUT",
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
]);

/**
 * Tells whether a failure shows that not a byte of the request left this process.
 *
 * @param err - what the HTTP client threw
 * @param body - the body of the request; taken only after the connection stands
 * @returns true only when that is certain
 */
export const isNotSentError = (err: unknown, body: RequestBody): boolean => {
    const { code, syscall } = err as NodeJS.ErrnoException;
    const isConnectFailure = syscall === "connect" || (code !== undefined && CONNECT_CODES.has(code));
    return isConnectFailure && (!body.isPresent || body.isUntouched());
};
