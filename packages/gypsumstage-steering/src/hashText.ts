import murmurhash from "murmurhash";

/**
 * Hashes a short text to 32 bits; every process gives the same value.
 *
 * @param text - the text
 * @returns an unsigned 32-bit number
 */
export const hashText = (text: string): number => murmurhash.v3(text);
