import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { KeyVerdict } from "@gypsumstage/steering/traffic/KeyVerdict";
import type { CallerRequest } from "../request/CallerRequest.js";
import type { Reply } from "../request/Reply.js";

/** Decides whether the keys of workspaces are to be accepted now. */
export interface KeyTrust {
    /** Decides for whom a request is served; `arrivedAtMs` is on the monotonic clock. */
    readonly judge: (
        route: Pick<Route, "isPublic">,
        keyDigest: string | undefined,
        arrivedAtMs: number,
    ) => KeyVerdict;
    /** Waits a short time for a read of the store that begins after the call. */
    readonly confirm: () => Promise<void>;
    /** Returns the reply to a request of a workspace that must not be sent any more; undefined when it may be. */
    readonly findRefusal: (
        req: Pick<CallerRequest, "keyDigest" | "workspace" | "arrivedAtMs">,
    ) => Extract<Reply, { readonly kind: "refused" | "rejected"; }> | undefined;
    /** Reply to a request whose key can be neither accepted nor refused now. */
    readonly unconfirmedReply: Extract<Reply, { readonly kind: "refused"; }>;
}
