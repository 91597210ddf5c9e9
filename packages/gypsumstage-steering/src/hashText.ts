import murmurhash from "murmurhash";

/**
 * Hashes a short text to 32 bits. Not seeded, so every process computes the same value.
 *
 * @param text - the text to hash
 * @returns an unsigned 32-bit number
 */
export const hashText = (text: string): number => murmurhash.v3(text);
