import type { Configuration } from "@gypsumstage/domain/Configuration";
import { createHash } from "node:crypto";

/**
 * Computes the digest that names a configuration.
 *
 * @param configuration - the configuration
 * @returns SHA-256 of its JSON text, in hexadecimal
 */
export const computeConfigurationDigest = (configuration: Configuration): string =>
    createHash("sha256").update(JSON.stringify(configuration)).digest("hex");
