import type { HeaderFields } from "../reply/HeaderFields.js";

/** The endpoint or other entry that an attempt is sent to. */
export interface AttemptTarget {
    /** `IP:port`. */
    readonly address: string;
    /** Name of the endpoint or instance, for traces. */
    readonly targetName: string;
    /** Region of the target; undefined when it is the region of this instance. */
    readonly remoteRegion: string | undefined;
    /** Header fields to send in addition to those of the request. */
    readonly headers: HeaderFields;
    /** Aborts the attempt. */
    readonly signal: AbortSignal;
}
