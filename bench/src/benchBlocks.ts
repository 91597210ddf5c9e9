import type { Bench } from "./Bench.js";
import { median } from "./median.js";

const SITES = 5_800;
const SIZES = [450_000, 900_000, 1_800_000, 3_600_000];
const LOOKUPS = 2_000_000;
const CHANGED = 1_000;

/**
 * Tries the table from client blocks to sites: sorted starts and a site a block, found by binary search.
 *
 * @param options - how it is run
 * @returns memory, look-up time and time to apply a change, by number of blocks
 */
export const benchBlocks: Bench = async ({ seed, runs }) => {
    const rows = SIZES.map(blocks => {
        const samples = Array.from({ length: runs }, (_none, run) => measureTable(blocks, seed + run));
        return {
            blocks,
            bytesPerBlock: median(samples.map(each => each.bytesPerBlock)),
            lookupNs: Math.round(median(samples.map(each => each.lookupNs))),
            changeMs: Number(median(samples.map(each => each.changeMs)).toFixed(2)),
            buildMs: Math.round(median(samples.map(each => each.buildMs))),
        };
    });
    const last = rows.at(-1);
    return {
        rows,
        summary: {
            tableMegabytes: (last?.bytesPerBlock ?? 0) * (last?.blocks ?? 0) / 1e6,
            lookupNs: last?.lookupNs ?? 0,
            changeMs: last?.changeMs ?? 0,
        },
    };
};

const createRandom = (seed: number): () => number => {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state;
    };
};

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
    const startedAtMs = performance.now();
    const starts = Uint32Array.from({ length: blocks }, () => random()).sort();
    const sites = Uint16Array.from({ length: blocks }, () => random() % SITES);
    const buildMs = performance.now() - startedAtMs;
    const find = (address: number): number => {
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
    let sum = 0;
    const beforeMs = performance.now();
    for (let index = 0; index < LOOKUPS; index++) {
        sum += find(random());
    }
    const lookupNs = (performance.now() - beforeMs) * 1e6 / LOOKUPS;
    const changeAtMs = performance.now();
    const next = sites.slice();
    for (let index = 0; index < CHANGED; index++) {
        next[random() % blocks] = sum % SITES;
    }
    return {
        bytesPerBlock: (starts.byteLength + sites.byteLength) / blocks,
        lookupNs,
        changeMs: performance.now() - changeAtMs,
        buildMs,
    };
};
