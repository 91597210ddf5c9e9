import { Agent } from "undici";

const CONNECT_TIMEOUT_MS = 400;
/** Shorter than the idle time of every server that we connect to, so that we close first. */
const IDLE_CONNECTION_MS = 4_000;

/**
 * Creates the HTTP client for endpoints and other entries. A connection carries one request at a time, and time limits
 * are those of the requests.
 *
 * @param sourceAddress - IP address that connections come from; undefined leaves it to the system
 * @returns the client
 */
export const createUpstreamAgent = (sourceAddress: string | undefined): Agent =>
    new Agent({
        connect: { timeout: CONNECT_TIMEOUT_MS },
        ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
        keepAliveTimeout: IDLE_CONNECTION_MS,
        keepAliveMaxTimeout: IDLE_CONNECTION_MS,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
