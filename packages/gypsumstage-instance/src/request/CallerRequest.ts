import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import type { RelayedRequest } from "../relay/RelayedRequest.js";
import type { UpstreamRequest } from "../upstream/UpstreamRequest.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";

/** A caller's request with its complete body. Times are on the monotonic clock. */
export interface CallerRequest extends UpstreamRequest {
    /** Identifier that the caller sent for this attempt; undefined when it sent none. */
    readonly id: string | undefined;
    /** Key of the requested object; undefined when the caller sent none or the route is not sticky. */
    readonly objectKey: string | undefined;
    /** When the caller stops waiting for the reply; undefined when it sent no deadline. */
    readonly callerDeadlineAtMs: number | undefined;
    readonly arrivedAtMs: number;
    /** The same for each repeat of the request, whatever its identifier. */
    readonly fingerprint: RequestFingerprint;
    /** Digest of the key of the caller's workspace; undefined when the caller sent none. */
    readonly keyDigest: string | undefined;
    /** The workspace for which the request runs; undefined when it needs none. */
    readonly workspace: Workspace | undefined;
    /** Set when another instance passed the request on; it is not passed on again. */
    readonly relayed: RelayedRequest | undefined;
}
