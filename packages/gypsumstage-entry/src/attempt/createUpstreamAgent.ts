import { Agent, Pool } from "undici";
import { createConnection } from "./createConnection.js";

const CONNECT_TIMEOUT_MS = 400;
/** Shorter than the idle timeout of every server that this client connects to, so that the client closes first. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/**
 * Creates the HTTP client for requests to endpoints and other entries. A connection carries one request at a time, and none after a
 * refusal. The client itself sets no timeouts for responses; the signal of each request does.
 *
 * @param sourceAddress - local IP address of the connections; undefined lets the operating system choose
 * @returns the client
 */
export const createUpstreamAgent = (sourceAddress: string | undefined): Agent =>
    new Agent({
        connect: { timeout: CONNECT_TIMEOUT_MS },
        ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        factory: (origin, options) =>
            new Pool(origin, { ...options as Pool.Options, factory: createConnection }),
    });
