import type { RequestBody } from "../read/RequestBody.js";

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
    "UND_ERR_CONNECT_TIMEOUT",
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
]);

/**
 * Checks whether an error proves that no byte of the request has left this process.
 *
 * @param err - the error of the HTTP client
 * @param body - the body of the request; it is read only after the connection is established
 * @returns true only when this is certain
 */
export const isNotSentError = (err: unknown, body: RequestBody): boolean => {
    const { code, syscall } = err as NodeJS.ErrnoException;
    const isConnectFailure = syscall === "connect" || (code !== undefined && CONNECT_ERROR_CODES.has(code));
    return isConnectFailure && (!body.isPresent || body.isUntouched());
};
