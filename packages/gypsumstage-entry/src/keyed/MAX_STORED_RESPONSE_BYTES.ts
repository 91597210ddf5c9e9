/** Largest body of an answer that a home keeps for repeats. */
export const MAX_STORED_RESPONSE_BYTES = 16_384;
