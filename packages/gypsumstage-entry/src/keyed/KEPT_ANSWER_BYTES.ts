/** Largest body of an answer that a home keeps for repeats. */
export const KEPT_ANSWER_BYTES = 16_384;
