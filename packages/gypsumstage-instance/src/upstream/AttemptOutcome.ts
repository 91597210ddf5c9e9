import type { IncomingHttpHeaders } from "node:http";

/** Outcome of sending a request to an endpoint. */
export type AttemptOutcome =
    /** A complete response was received. */
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly headers: IncomingHttpHeaders;
        readonly body: Buffer;
        /** False when only the end of the connection ends the body, so that a part of it can't be told from the whole. */
        readonly isEndStated: boolean;
        /** True when the connection carried no response before, so that this one can't be a copy of an earlier one. */
        readonly isFirstOnConnection: boolean;
    }
    /** No connection could be opened; nothing was sent. `isPortClosed` is true when nothing listens at the address. */
    | { readonly kind: "not-sent"; readonly reason: string; readonly isPortClosed: boolean; }
    /** The request was sent at least in part, and no complete response was received. */
    | { readonly kind: "broken"; readonly reason: string; }
    /** This instance aborted the attempt. */
    | { readonly kind: "aborted"; readonly wasSent: boolean; };
