import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { sleep } from "@gypsumstage/shared/sleep";
import { success } from "@gypsumstage/shared/success";
import type { Platform } from "./Platform.js";
import type { PlatformError } from "./PlatformError.js";
import type { VersionedObject } from "./VersionedObject.js";
import type { WriteCondition } from "./WriteCondition.js";

const READ_BACK_TRIES = 4;
const READ_BACK_PAUSE_MS = 250;

/**
 * Writes an object and settles a lost answer by reading the object back.
 *
 * @param platform - the port
 * @param key - name of the object
 * @param value - what to write; must be recognizable by `isOwn`
 * @param condition - what must hold for the write
 * @param isOwn - tells whether a stored object shows that this write took effect
 * @returns true when the write took effect, false when it certainly did not; the error when nobody can tell
 */
export const settleWrite = async (
    platform: Platform,
    key: string,
    value: unknown,
    condition: WriteCondition,
    isOwn: (stored: VersionedObject) => boolean,
): Promise<Result<boolean, PlatformError>> => {
    const written = await platform.write(key, value, condition);
    if (written.ok) {
        return success(true);
    }
    let problem = written.error;
    for (let tries = 0; tries < READ_BACK_TRIES; tries++) {
        const stored = await platform.read(key);
        if (stored.ok) {
            const isUnchanged = condition.kind === "absent"
                ? stored.value === undefined
                : stored.value?.version === condition.version;
            if (stored.value !== undefined && isOwn(stored.value)) {
                return success(true);
            }
            // An unanswered write may still be on its way: an unchanged object does not settle it.
            if (written.error.kind === "platform-conflict" || !isUnchanged) {
                return success(false);
            }
            return failure(written.error);
        }
        problem = stored.error;
        await sleep(READ_BACK_PAUSE_MS);
    }
    return failure(problem);
};
