import type { ResponseMemory } from "./ResponseMemory.js";
import type { ResponseReservation } from "./ResponseReservation.js";

interface OpenResponse {
    bytes: number;
    readonly onEvict: () => void;
}

/**
 * Creates the memory that all responses being received share. When it is full, the largest response is evicted, so
 * that responses without an end cannot take the memory from ordinary ones.
 *
 * @param limitBytes - limit of all responses together
 * @returns the memory, with nothing reserved
 */
export const createResponseMemory = (limitBytes: number): ResponseMemory => {
    const open = new Set<OpenResponse>();
    let usedBytes = 0;
    const remove = (response: OpenResponse): void => {
        if (open.delete(response)) {
            usedBytes -= response.bytes;
        }
    };
    const evictLargest = (): void => {
        const [largest] = [...open].sort((a, b) => b.bytes - a.bytes);
        if (largest !== undefined) {
            remove(largest);
            largest.onEvict();
        }
    };
    return {
        open: (onEvict): ResponseReservation => {
            const response: OpenResponse = { bytes: 0, onEvict };
            open.add(response);
            return {
                grow: bytes => {
                    if (!open.has(response)) {
                        return;
                    }
                    response.bytes += bytes;
                    usedBytes += bytes;
                    if (usedBytes > limitBytes) {
                        evictLargest();
                    }
                },
                close: () => remove(response),
            };
        },
        usedBytes: () => usedBytes,
    };
};
