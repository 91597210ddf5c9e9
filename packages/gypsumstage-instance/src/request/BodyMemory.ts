import type { BodyLane } from "./BodyLane.js";

/** Memory for the bodies of all requests that are being read or served. */
export interface BodyMemory {
    /** For bodies of at most `SMALL_BODY_BYTES`, reserved as their bytes come, so that callers that send nothing hold nothing. */
    readonly small: BodyLane;
    /** For larger ones, reserved before they are read. */
    readonly large: BodyLane;
}
