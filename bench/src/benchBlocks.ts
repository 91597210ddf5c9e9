import type { Bench } from "./Bench.js";
import { median } from "./median.js";

const SITE_COUNT = 5_800;
const BLOCK_COUNTS = [450_000, 900_000, 1_800_000, 3_600_000];
const LOOKUP_COUNT = 2_000_000;
const CHANGED_BLOCK_COUNT = 1_000;

/**
 * Measures a table from blocks of client addresses to sites: the sorted start addresses of the blocks and one site per
 * block, with a binary search for the lookup.
 *
 * @param options - the seed of the table and of the addresses, and the number of runs
 * @returns medians of the memory, the lookup time and the time to apply a change; one row per number of blocks
 */
export const benchBlocks: Bench = async ({ seed, runs }) => {
    const rows = BLOCK_COUNTS.map(blocks => {
        const samples = Array.from({ length: runs }, (_none, run) => measureTable(blocks, seed + run));
        return {
            blocks,
            bytesPerBlock: median(samples.map(each => each.bytesPerBlock)),
            lookupNs: Math.round(median(samples.map(each => each.lookupNs))),
            changeMs: Number(median(samples.map(each => each.changeMs)).toFixed(2)),
            buildMs: Math.round(median(samples.map(each => each.buildMs))),
        };
    });
    const largest = rows.at(-1);
    return {
        rows,
        summary: {
            tableMegabytes: (largest?.bytesPerBlock ?? 0) * (largest?.blocks ?? 0) / 1e6,
            lookupNs: largest?.lookupNs ?? 0,
            changeMs: largest?.changeMs ?? 0,
        },
    };
};

/** Creates a linear congruential generator of unsigned 32-bit integers. */
const createRandom = (seed: number): () => number => {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state;
    };
};

/** Builds a table, looks up random addresses in it and changes the site of random blocks in a copy. */
const measureTable = (
    blocks: number,
    seed: number,
): {
    readonly bytesPerBlock: number;
    readonly lookupNs: number;
    readonly changeMs: number;
    readonly buildMs: number;
} => {
    const random = createRandom(seed);
    const buildStartedAtMs = performance.now();
    const starts = Uint32Array.from({ length: blocks }, () => random()).sort();
    const sites = Uint16Array.from({ length: blocks }, () => random() % SITE_COUNT);
    const buildMs = performance.now() - buildStartedAtMs;
    const findSite = (address: number): number => {
        let low = 0;
        let high = blocks - 1;
        while (low < high) {
            const middle = (low + high + 1) >>> 1;
            if ((starts[middle] ?? 0) <= address) {
                low = middle;
            }
            else {
                high = middle - 1;
            }
        }
        return sites[low] ?? 0;
    };
    let checksum = 0;
    const lookupsStartedAtMs = performance.now();
    for (let index = 0; index < LOOKUP_COUNT; index++) {
        checksum += findSite(random());
    }
    const lookupNs = (performance.now() - lookupsStartedAtMs) * 1e6 / LOOKUP_COUNT;
    const changeStartedAtMs = performance.now();
    const changedSites = sites.slice();
    for (let index = 0; index < CHANGED_BLOCK_COUNT; index++) {
        changedSites[random() % blocks] = checksum % SITE_COUNT;
    }
    return {
        bytesPerBlock: (starts.byteLength + sites.byteLength) / blocks,
        lookupNs,
        changeMs: performance.now() - changeStartedAtMs,
        buildMs,
    };
};
