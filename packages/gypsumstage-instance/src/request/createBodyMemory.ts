import type { BodyMemory } from "./BodyMemory.js";
import { createBodyLane } from "./createBodyLane.js";

/** Share of the memory given that the process takes at most. */
const USABLE_SHARE = 0.7;
/** The process without any bodies, and the responses that it receives. */
const OTHER_USES_BYTES = 167_772_160;
const SMALL_LANE_BYTES = 33_554_432;

/**
 * Creates the memory for the bodies of requests.
 *
 * @param memoryBytes - memory that the process may take
 * @returns the memory, nothing of which is reserved; with little memory, large bodies are read one at a time
 */
export const createBodyMemory = (memoryBytes: number): BodyMemory => ({
    small: createBodyLane(SMALL_LANE_BYTES),
    large: createBodyLane(Math.max(0, USABLE_SHARE * memoryBytes - OTHER_USES_BYTES - SMALL_LANE_BYTES)),
});
