import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Platform } from "@gypsumstage/platform/Platform";
import type { PlatformError } from "@gypsumstage/platform/PlatformError";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { digestOf } from "./digestOf.js";
import { partKey } from "./partKey.js";
import { readPart } from "./readPart.js";

/**
 * Stores a configuration under its digest. The object never changes, so a write that meets one is done.
 *
 * @param platform - the platform
 * @param configuration - the configuration
 * @returns the digest
 */
export const writePart = async (
    platform: Platform,
    configuration: Configuration,
): Promise<Result<string, PlatformError>> => {
    const digest = digestOf(configuration);
    const written = await platform.write(partKey(digest), configuration, { kind: "absent" });
    if (written.ok || written.error.kind === "platform-conflict") {
        return success(digest);
    }
    const stored = await readPart(platform, digest);
    return stored.ok ? success(digest) : written;
};
