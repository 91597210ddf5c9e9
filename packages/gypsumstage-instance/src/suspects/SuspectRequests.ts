import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { NoticeTopic } from "../notices/NoticeTopic.js";
import type { RequestFingerprint } from "../request/RequestFingerprint.js";
import type { SuspectVerdict } from "./SuspectVerdict.js";

/** Requests under which endpoints ended, here or at other instances. */
export interface SuspectRequests {
    /** Judges whether a request, or a retry of it, may be sent to an endpoint now. */
    readonly judge: (fingerprint: RequestFingerprint, isRetry: boolean) => SuspectVerdict;
    /** Returns whether any endpoint ended while the request was in flight there. */
    readonly isSuspect: (fingerprint: RequestFingerprint) => boolean;
    /** Records that the connection to the endpoint broke; the endpoint may have ended, or not. */
    readonly recordBroken: (endpoint: UpstreamEndpoint, fingerprint: RequestFingerprint) => void;
    /** Records that an attempt was given up without a response; the endpoint may have ended, or be slow. */
    readonly recordSilent: (endpoint: UpstreamEndpoint, fingerprint: RequestFingerprint) => void;
    /** Records that the endpoint responded to a request that was sent at this time. */
    readonly recordResponse: (endpoint: UpstreamEndpoint, sentAtMs: number) => void;
    /** Records that an endpoint runs in the place of this one, which so has ended; it may have done so as planned. */
    readonly recordReplaced: (endpoint: UpstreamEndpoint) => void;
    /** Records that an endpoint ran the request successfully. */
    readonly recordSuccess: (fingerprint: RequestFingerprint) => void;
    /** Records that the endpoint has ended. */
    readonly recordEnd: (endpoint: UpstreamEndpoint) => void;
    /** Records that the endpoint still runs. */
    readonly recordAlive: (endpoint: UpstreamEndpoint) => void;
    /** Forgets broken connections to the endpoint, as not the endpoint but this instance's links were at fault. */
    readonly forgetBroken: (endpoint: UpstreamEndpoint) => void;
    /** Number of suspect requests. */
    readonly size: () => number;
    /** Spreads changes to the other instances. */
    readonly topic: NoticeTopic;
}
