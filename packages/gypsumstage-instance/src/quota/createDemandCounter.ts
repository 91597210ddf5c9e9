/** Time over which demand is averaged. */
const AVERAGING_MS = 2_000;
const MS_PER_SECOND = 1_000;
/** Rate below which a workspace counts as idle. */
const MIN_RATE_PER_SECOND = 0.02;

/** Demand by workspace, as an exponential average. */
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
    const sums = new Map<string, { readonly sum: number; readonly atMs: number; }>();
    const getSum = (workspace: string, nowMs: number): number => {
        const entry = sums.get(workspace);
        return entry === undefined ? 0 : entry.sum * Math.exp((entry.atMs - nowMs) / AVERAGING_MS);
    };
    const getRate = (workspace: string, nowMs: number): number =>
        getSum(workspace, nowMs) * MS_PER_SECOND / AVERAGING_MS;
    return {
        add: (workspace, requests, nowMs) =>
            sums.set(workspace, { sum: getSum(workspace, nowMs) + requests, atMs: nowMs }),
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
