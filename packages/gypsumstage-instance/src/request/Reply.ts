import type { IncomingHttpHeaders } from "node:http";

/** The reply to a caller's request. */
export type Reply =
    /** An endpoint's response, unchanged. */
    | {
        readonly kind: "relayed";
        readonly status: number;
        readonly headers: IncomingHttpHeaders;
        readonly body: Buffer;
        /** False when only the end of the endpoint's connection ended the body; told to instances of earlier builds. */
        readonly isEndStated: boolean;
    }
    /** The request has not run and will not run: the caller may retry after the given time. */
    | {
        readonly kind: "refused";
        readonly reason: string;
        readonly retryAfterMs: number;
        /** 429 for a request over the usage cap of its workspace; otherwise 503. */
        readonly status?: 429;
    }
    /** The request may have run, or no response arrived in time. */
    | { readonly kind: "failed"; readonly reason: string; readonly isTimeout: boolean; }
    /** The request is malformed, exceeds a limit, matches no route or has an unknown key: a retry fails in the same way. */
    | { readonly kind: "rejected"; readonly reason: string; readonly status: number; }
    /** The caller has disconnected: nothing is sent. */
    | { readonly kind: "abandoned"; };
