import type { BodyLane } from "./BodyLane.js";

/** Memory for the bodies of all requests that are being read or served. */
export interface BodyMemory {
    /** For bodies of at most `SMALL_BODY_BYTES`, which so never wait for large ones. */
    readonly small: BodyLane;
    readonly large: BodyLane;
}
