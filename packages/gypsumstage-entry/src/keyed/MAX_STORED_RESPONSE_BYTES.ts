/** Largest response body that the home of a key stores for retries of the request. */
export const MAX_STORED_RESPONSE_BYTES = 16_384;
