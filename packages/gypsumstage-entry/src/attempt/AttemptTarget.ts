import type { AnswerHeaders } from "../answer/AnswerHeaders.js";

/** Where an attempt goes. */
export interface AttemptTarget {
    /** `IP:port`. */
    readonly address: string;
    /** Name for traces. */
    readonly place: string;
    /** Region of the receiver when it is another one than ours. */
    readonly otherRegion: string | undefined;
    /** Header fields beside those of the request. */
    readonly headers: AnswerHeaders;
    readonly signal: AbortSignal;
}
