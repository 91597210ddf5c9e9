import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Platform } from "@gypsumstage/platform/Platform";
import type { PlatformError } from "@gypsumstage/platform/PlatformError";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { computeConfigurationDigest } from "./computeConfigurationDigest.js";
import { getConfigurationKey } from "./getConfigurationKey.js";
import { readStoredConfiguration } from "./readStoredConfiguration.js";

/**
 * Stores a configuration under its digest. Stored objects are immutable, so a write that finds an existing object is
 * complete. After any other failure, for example a lost response, the object is read back.
 *
 * @param platform - the platform whose object store is written
 * @param configuration - the configuration, with its generation
 * @returns the digest; the error of the write when the object cannot be read back
 */
export const storeConfiguration = async (
    platform: Platform,
    configuration: Configuration,
): Promise<Result<string, PlatformError>> => {
    const digest = computeConfigurationDigest(configuration);
    const written = await platform.write(getConfigurationKey(digest), configuration, { kind: "absent" });
    if (written.ok || written.error.kind === "platform-conflict") {
        return success(digest);
    }
    const stored = await readStoredConfiguration(platform, digest);
    return stored.ok ? success(digest) : written;
};
