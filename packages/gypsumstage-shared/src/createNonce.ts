import { randomBytes } from "node:crypto";

const NONCE_BYTES = 9;

/**
 * Makes a value that nobody else has made.
 *
 * @returns 12 characters safe in URLs and headers, without a dot
 */
export const createNonce = (): string => randomBytes(NONCE_BYTES).toString("base64url");
