import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { sleep } from "@gypsumstage/shared/sleep";
import { success } from "@gypsumstage/shared/success";
import type { Platform } from "./Platform.js";
import type { PlatformError } from "./PlatformError.js";
import type { VersionedObject } from "./VersionedObject.js";
import type { WriteCondition } from "./WriteCondition.js";

const READ_BACK_ATTEMPTS = 4;
const READ_BACK_INTERVAL_MS = 250;

/**
 * Writes an object and, when the response is lost, reads the object back to determine whether the write took effect.
 *
 * @param platform - the platform that stores the object
 * @param key - key of the object
 * @param value - new value; must be recognizable by `isOwnWrite`
 * @param condition - precondition of the write
 * @param isOwnWrite - returns whether a stored object shows that this write took effect
 * @returns true when the write took effect, false when it certainly did not; the error when the outcome is unknown
 */
export const writeAndConfirm = async (
    platform: Platform,
    key: string,
    value: unknown,
    condition: WriteCondition,
    isOwnWrite: (stored: VersionedObject) => boolean,
): Promise<Result<boolean, PlatformError>> => {
    const written = await platform.write(key, value, condition);
    if (written.ok) {
        return success(true);
    }
    let lastError = written.error;
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
        const stored = await platform.read(key);
        if (stored.ok) {
            const isUnchanged = condition.kind === "absent"
                ? stored.value === undefined
                : stored.value?.version === condition.version;
            if (stored.value !== undefined && isOwnWrite(stored.value)) {
                return success(true);
            }
            // A write without a response may still take effect later: an unchanged object leaves the outcome unknown.
            if (written.error.kind === "platform-conflict" || !isUnchanged) {
                return success(false);
            }
            return failure(written.error);
        }
        lastError = stored.error;
        await sleep(READ_BACK_INTERVAL_MS);
    }
    return failure(lastError);
};
