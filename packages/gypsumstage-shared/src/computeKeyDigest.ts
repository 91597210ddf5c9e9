import { hash } from "node:crypto";

/**
 * Computes the digest under which a caller's key is kept and compared, so that the key itself is stored nowhere.
 *
 * @param key - the key as the caller sent it
 * @returns its SHA-256, base64url
 */
export const computeKeyDigest = (key: string): string => hash("sha256", key, "base64url");
