import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Platform } from "@gypsumstage/platform/Platform";
import type { PlatformError } from "@gypsumstage/platform/PlatformError";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { computeConfigurationDigest } from "./computeConfigurationDigest.js";
import { getConfigurationKey } from "./getConfigurationKey.js";

/**
 * Reads a configuration by its digest and checks it against the digest.
 *
 * @param platform - the platform
 * @param digest - the digest that the head names
 * @returns the configuration; an error when it cannot be read or does not match
 */
export const readStoredConfiguration = async (
    platform: Platform,
    digest: string,
): Promise<Result<Configuration, PlatformError>> => {
    const part = await platform.read(getConfigurationKey(digest));
    if (!part.ok) {
        return part;
    }
    const configuration = part.value?.value as Configuration | undefined;
    if (configuration === undefined || computeConfigurationDigest(configuration) !== digest) {
        return failure({ kind: "platform-unreachable", reason: `part ${digest} is missing or damaged` });
    }
    return success(configuration);
};
