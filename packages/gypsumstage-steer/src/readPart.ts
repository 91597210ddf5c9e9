import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Platform } from "@gypsumstage/platform/Platform";
import type { PlatformError } from "@gypsumstage/platform/PlatformError";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { digestOf } from "./digestOf.js";
import { partKey } from "./partKey.js";

/**
 * Reads a configuration by its digest and checks it against the digest.
 *
 * @param platform - the platform
 * @param digest - the digest that the head names
 * @returns the configuration; an error when it cannot be read or does not match
 */
export const readPart = async (
    platform: Platform,
    digest: string,
): Promise<Result<Configuration, PlatformError>> => {
    const part = await platform.read(partKey(digest));
    if (!part.ok) {
        return part;
    }
    const configuration = part.value?.value as Configuration | undefined;
    if (configuration === undefined || digestOf(configuration) !== digest) {
        return failure({ kind: "platform-unreachable", reason: `part ${digest} is missing or damaged` });
    }
    return success(configuration);
};
