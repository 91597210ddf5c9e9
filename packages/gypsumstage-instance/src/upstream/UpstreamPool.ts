import type { UpstreamAttempt } from "./UpstreamAttempt.js";
import type { UpstreamRequest } from "./UpstreamRequest.js";

/** Pool of connections to endpoints, each of which carries one request at a time. */
export interface UpstreamPool {
    /** Sends a request to the endpoint at `IP:port`. */
    readonly send: (address: string, req: UpstreamRequest) => UpstreamAttempt;
    /** Closes the idle connections. */
    readonly close: () => Promise<void>;
}
