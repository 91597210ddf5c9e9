import { randomBytes } from "node:crypto";

const RANDOM_BYTES = 9;

/**
 * Creates a random value that is unique across all processes.
 *
 * @returns 12 characters that are safe in URLs and header fields; none of them is a dot
 */
export const createUniqueId = (): string => randomBytes(RANDOM_BYTES).toString("base64url");
