import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { LRUCache } from "lru-cache";
import type { WarmObjects } from "./WarmObjects.js";

/** Time after a request for which an endpoint is assumed to hold the object's data. */
const WARM_TTL_MS = 20_000;
/** Objects of all endpoints together: 2,500 requests a second, each for another object, within the time above. */
const MAX_OBJECTS = 50_000;
/** Callers choose the keys, which may be as long as a request's head. */
const MAX_KEY_BYTES = 8_388_608;
/** Endpoints whose objects were forgotten lately. */
const MAX_CLEARED = 10_000;

/**
 * Creates the memory of objects, bounded in number and in bytes. The objects whose last request is longest ago go first.
 *
 * @returns the memory, empty
 */
export const createWarmObjects = (): WarmObjects => {
    const sentAtMs = new LRUCache<string, number>({
        max: MAX_OBJECTS,
        maxSize: MAX_KEY_BYTES,
        sizeCalculation: (...[, key]) => key.length,
    });
    const clearedAtMs = new LRUCache<string, number>({ max: MAX_CLEARED });
    const keyOf = (endpointId: string, objectKey: string): string => `${endpointId}\n${objectKey}`;
    return {
        mark: (endpointId, objectKey) => sentAtMs.set(keyOf(endpointId, objectKey), monotonicNow()),
        has: (endpointId, objectKey) => {
            const atMs = sentAtMs.peek(keyOf(endpointId, objectKey));
            return atMs !== undefined && monotonicNow() - atMs < WARM_TTL_MS
                && atMs > (clearedAtMs.peek(endpointId) ?? -Infinity);
        },
        clear: endpointId => clearedAtMs.set(endpointId, monotonicNow()),
    };
};
