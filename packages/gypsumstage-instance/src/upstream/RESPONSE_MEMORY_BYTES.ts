/** Limit of all responses being received; leaves room for the process in the smallest instances of 250 MB. */
export const RESPONSE_MEMORY_BYTES = 67_108_864;
