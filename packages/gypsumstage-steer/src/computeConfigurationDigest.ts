import type { Configuration } from "@gypsumstage/domain/Configuration";
import { createHash } from "node:crypto";

/**
 * Computes the digest that identifies a configuration.
 *
 * @param configuration - the configuration, with its generation
 * @returns the SHA-256 digest of its JSON text, in hexadecimal
 */
export const computeConfigurationDigest = (configuration: Configuration): string =>
    createHash("sha256").update(JSON.stringify(configuration)).digest("hex");
