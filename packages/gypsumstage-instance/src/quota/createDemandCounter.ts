/** Times over which demand is averaged: the short one follows a change, the long one has less noise at a low rate. */
const SHORT_WINDOW_MS = 800;
const LONG_WINDOW_MS = 15_000;
/** Requests within the short time, received or expected by the long average, at which both averages count the same. */
const EVEN_WEIGHT_REQUESTS = 4;
const MS_PER_SECOND = 1_000;
/** Rate below which a workspace counts as idle. */
const MIN_RATE_PER_SECOND = 0.02;

interface Sums {
    readonly short: number;
    readonly long: number;
    readonly atMs: number;
}

/** Demand by workspace, as an average of an exponential window. */
interface DemandCounter {
    readonly add: (workspace: string, requests: number, nowMs: number) => void;
    readonly ratePerSecond: (workspace: string, nowMs: number) => number;
    /** Rates of all workspaces that aren't idle. */
    readonly rates: (nowMs: number) => Readonly<Record<string, number>>;
}

/**
 * Creates a counter of the demand of workspaces.
 *
 * @returns the counter, without demand
 */
export const createDemandCounter = (): DemandCounter => {
    const sums = new Map<string, Sums>();
    const decay = (workspace: string, nowMs: number): Sums => {
        const { short, long, atMs } = sums.get(workspace) ?? { short: 0, long: 0, atMs: nowMs };
        const elapsedMs = nowMs - atMs;
        return {
            short: short * Math.exp(-elapsedMs / SHORT_WINDOW_MS),
            long: long * Math.exp(-elapsedMs / LONG_WINDOW_MS),
            atMs: nowMs,
        };
    };
    const getRate = (workspace: string, nowMs: number): number => {
        const { short, long } = decay(workspace, nowMs);
        const requests = Math.max(short, long * SHORT_WINDOW_MS / LONG_WINDOW_MS);
        const weight = requests / (requests + EVEN_WEIGHT_REQUESTS);
        return MS_PER_SECOND * (weight * short / SHORT_WINDOW_MS + (1 - weight) * long / LONG_WINDOW_MS);
    };
    return {
        add: (workspace, requests, nowMs) => {
            const { short, long, atMs } = decay(workspace, nowMs);
            sums.set(workspace, { short: short + requests, long: long + requests, atMs });
        },
        ratePerSecond: getRate,
        rates: nowMs => {
            const rates: Record<string, number> = {};
            for (const workspace of [...sums.keys()]) {
                const rate = getRate(workspace, nowMs);
                if (rate < MIN_RATE_PER_SECOND) {
                    sums.delete(workspace);
                }
                else {
                    rates[workspace] = Number(rate.toFixed(2));
                }
            }
            return rates;
        },
    };
};
