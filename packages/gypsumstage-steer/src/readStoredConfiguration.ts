import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Platform } from "@gypsumstage/platform/Platform";
import type { PlatformError } from "@gypsumstage/platform/PlatformError";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { computeConfigurationDigest } from "./computeConfigurationDigest.js";
import { getConfigurationKey } from "./getConfigurationKey.js";

/**
 * Reads a stored configuration by its digest and verifies the digest.
 *
 * @param platform - the platform whose object store is read
 * @param digest - digest from the configuration head
 * @returns the configuration; an error when it cannot be read, is missing or does not match the digest
 */
export const readStoredConfiguration = async (
    platform: Platform,
    digest: string,
): Promise<Result<Configuration, PlatformError>> => {
    const key = getConfigurationKey(digest);
    const stored = await platform.read(key);
    if (!stored.ok) {
        return stored;
    }
    const configuration = stored.value?.value as Configuration | undefined;
    if (configuration === undefined || computeConfigurationDigest(configuration) !== digest) {
        return failure({ kind: "platform-object-invalid", key });
    }
    return success(configuration);
};
