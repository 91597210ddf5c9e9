import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { NoticeTopic } from "../notices/NoticeTopic.js";

/** Endpoints that said in a response that they are leaving. */
export interface LeavingEndpoints {
    /** Records that a response of an endpoint to this instance said so. */
    readonly observe: (endpoint: UpstreamEndpoint) => void;
    /** Forgets endpoints that are not among the given ones, or that have started again. */
    readonly keepOnly: (endpoints: ReadonlyMap<string, UpstreamEndpoint>) => void;
    /** Spreads what this instance has observed. */
    readonly topic: NoticeTopic;
}
