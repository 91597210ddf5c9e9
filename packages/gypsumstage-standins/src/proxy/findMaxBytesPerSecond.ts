import type { ByteCount } from "./ByteCount.js";

const BUCKETS_PER_SECOND = 10;

/**
 * Returns the maximum number of bytes that the proxy forwarded within any second that starts at a multiple of 100 ms.
 *
 * @param counts - byte counts of the proxy
 * @param isCounted - whether bytes from the first host to the second are counted
 * @returns bytes per second
 */
export const findMaxBytesPerSecond = (
    counts: readonly ByteCount[],
    isCounted: (fromHost: string, toHost: string) => boolean,
): number => {
    const buckets = new Map<number, number>();
    for (const count of counts.filter(each => isCounted(each.fromHost, each.toHost))) {
        buckets.set(count.bucket, (buckets.get(count.bucket) ?? 0) + count.bytes);
    }
    const sums = [...buckets.keys()].map(start =>
        Array.from({ length: BUCKETS_PER_SECOND }, (_none, offset) => buckets.get(start + offset) ?? 0)
            .reduce((sum, bytes) => sum + bytes, 0)
    );
    return Math.max(0, ...sums);
};
