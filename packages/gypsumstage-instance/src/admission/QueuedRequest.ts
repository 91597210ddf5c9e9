import type { AdmissionRequest } from "@gypsumstage/steering/traffic/AdmissionRequest";
import type { AttemptStart } from "../request/AttemptStart.js";

/** A request that may have to wait for a slot, with what starts and ends it. */
export interface QueuedRequest extends AdmissionRequest {
    /** Starts the first attempt, if a candidate endpoint has room. */
    readonly tryStart: () => Promise<AttemptStart>;
    /** Whether a candidate endpoint may have got room since the last try; cheaper than a try. */
    readonly mayHaveRoom: () => boolean;
    /** Makes sure that no attempt starts any more. */
    readonly abort: () => void;
    /** Resolves when the caller has closed its connection. */
    readonly callerDisconnect: Promise<void>;
}
