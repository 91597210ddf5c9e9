import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import { QUOTA_PERMIT_VALIDITY_MS } from "@gypsumstage/steering/traffic/QUOTA_PERMIT_VALIDITY_MS";
import { createDemandCounter } from "./createDemandCounter.js";
import type { QuotaGrant } from "./QuotaGrant.js";
import type { QuotaQuery } from "./QuotaQuery.js";
import type { UsageCap } from "./UsageCap.js";
import type { UsageCaps } from "./UsageCaps.js";
import type { UsageDecision } from "./UsageDecision.js";

/** Queries that one attempt may wait for, as other attempts may take the permits of the first one. */
const MAX_QUERIES = 3;
/** Time for which attempts are refused without a query after a denial, so that a flood of requests causes no queries. */
const MAX_DENIAL_MS = 100;
/** Permits are fetched ahead for the attempts expected in this time, which is below their validity. */
const PREFETCH_MS = 150;
/** Smallest number of expected attempts for which permits are fetched ahead; with fewer, too many would expire unused. */
const MIN_PREFETCHED = 3;
const MS_PER_SECOND = 1_000;
const UNLIMITED: UsageDecision = { kind: "granted", refund: () => undefined };

interface Batch {
    count: number;
    readonly untilMs: number;
}

interface Denial {
    readonly untilMs: number;
    /** When the next attempt that is refused may be sent. */
    nextAtMs: number;
    readonly spacingMs: number;
}

/** The permits of one workspace at this instance. */
interface Stock {
    readonly cap: UsageCap;
    batches: readonly Batch[];
    denial: Denial | undefined;
    /** Attempts that wait for a permit. */
    waiting: number;
    /** Attempts, and those of them that were refused without a query, since the last query. */
    attempts: number;
    refused: number;
    query: Promise<void> | undefined;
}

/** What the caps need of the instance. */
interface UsageCapDependencies {
    readonly name: string;
    /** Returns the cap of a workspace in the configuration in force; undefined when it has none, or no caps are enforced. */
    readonly findCap: (workspace: string) => UsageCap | undefined;
    /** Requests permits; denied when no distributor responds. Never rejects. */
    readonly query: (query: QuotaQuery) => Promise<QuotaGrant>;
    /** The lease clock. */
    readonly now: () => number;
    readonly onDecision: (workspace: string, result: "granted" | "exceeded") => void;
}

/**
 * Creates the usage caps of an instance. Permits come from the distributor of the data centre. They are fetched ahead where
 * attempts are frequent; otherwise an attempt waits for one round trip in the data centre.
 *
 * @param deps - the caps in force, and the way to the distributor
 * @returns the caps, without permits
 */
export const createUsageCaps = (deps: UsageCapDependencies): UsageCaps => {
    const { name, findCap, now, onDecision } = deps;
    const stocks = new Map<string, Stock>();
    const demand = createDemandCounter();
    const getStock = (cap: UsageCap): Stock => {
        const known = stocks.get(cap.name);
        const isSame = known?.cap.requestsPerSecond === cap.requestsPerSecond
            && known.cap.burst === cap.burst;
        if (known !== undefined && isSame) {
            return known;
        }
        // Permits of another cap are dropped: a lower one binds at once.
        const stock: Stock = {
            cap,
            batches: [],
            denial: undefined,
            waiting: 0,
            attempts: 0,
            refused: 0,
            query: undefined,
        };
        stocks.set(cap.name, stock);
        return stock;
    };
    const countPermits = (stock: Stock): number => stock.batches.reduce((sum, batch) => sum + batch.count, 0);
    const countExpected = (stock: Stock): number => {
        const expected = demand.ratePerSecond(stock.cap.name, now()) * PREFETCH_MS / MS_PER_SECOND;
        return expected < MIN_PREFETCHED ? 0 : expected;
    };
    const takePermit = (stock: Stock): UsageDecision | undefined => {
        const nowMs = now();
        stock.batches = stock.batches.filter(batch => batch.count > 0 && nowMs < batch.untilMs);
        const [batch] = stock.batches;
        if (batch === undefined) {
            return undefined;
        }
        batch.count -= 1;
        onDecision(stock.cap.name, "granted");
        let isRefunded = false;
        return {
            kind: "granted",
            refund: () => {
                if (!isRefunded) {
                    isRefunded = true;
                    stock.batches = [...stock.batches, { count: 1, untilMs: batch.untilMs }];
                }
            },
        };
    };
    const exceed = (stock: Stock, denial: Denial): UsageDecision => {
        const retryAfterMs = Math.max(0, denial.nextAtMs - now());
        denial.nextAtMs += denial.spacingMs;
        onDecision(stock.cap.name, "exceeded");
        return { kind: "exceeded", retryAfterMs };
    };
    const findDenial = (stock: Stock): Denial | undefined =>
        stock.denial !== undefined && now() < stock.denial.untilMs ? stock.denial : undefined;
    const refill = async (stock: Stock): Promise<void> => {
        // Attempts that arrive together share the query.
        await Promise.resolve();
        const { cap, waiting, attempts, refused } = stock;
        const sentAtMs = now();
        stock.attempts = 0;
        stock.refused = 0;
        const missing = countExpected(stock) - countPermits(stock);
        const prefetched = Math.max(0, Math.floor(missing));
        const grant = await deps.query({ cap, holder: name, waiting, prefetched, attempts, refused });
        const nowMs = now();
        if (grant.kind === "granted") {
            const untilMs = sentAtMs + QUOTA_PERMIT_VALIDITY_MS;
            stock.batches = [...stock.batches, { count: grant.count, untilMs }];
            stock.denial = undefined;
        }
        else {
            stock.denial = {
                untilMs: nowMs + Math.min(MAX_DENIAL_MS, grant.retryAfterMs),
                nextAtMs: nowMs + grant.retryAfterMs,
                spacingMs: grant.spacingMs,
            };
        }
    };
    const refillOnce = (stock: Stock): Promise<void> =>
        stock.query ??= refill(stock).finally(() => {
            stock.query = undefined;
        });
    const refillAhead = (stock: Stock): void => {
        const isNeeded = countPermits(stock) < countExpected(stock) / 2;
        if (isNeeded && findDenial(stock) === undefined) {
            void refillOnce(stock);
        }
    };
    const waitForPermit = async (stock: Stock): Promise<UsageDecision> => {
        stock.waiting += 1;
        try {
            for (let queries = 0; queries < MAX_QUERIES; queries++) {
                await refillOnce(stock);
                const decision = takePermit(stock);
                if (decision !== undefined) {
                    return decision;
                }
                const denial = findDenial(stock);
                if (denial !== undefined) {
                    return exceed(stock, denial);
                }
            }
        }
        finally {
            stock.waiting -= 1;
        }
        return exceed(stock, { untilMs: 0, nextAtMs: now() + MAX_DENIAL_MS, spacingMs: 0 });
    };
    return {
        take: (workspace: Workspace | undefined) => {
            const cap = workspace === undefined ? undefined : findCap(workspace.name);
            if (cap === undefined) {
                return UNLIMITED;
            }
            const stock = getStock(cap);
            demand.add(cap.name, 1, now());
            stock.attempts += 1;
            const decision = takePermit(stock);
            if (decision !== undefined) {
                refillAhead(stock);
                return decision;
            }
            const denial = findDenial(stock);
            if (denial !== undefined) {
                stock.refused += 1;
                return exceed(stock, denial);
            }
            return waitForPermit(stock);
        },
    };
};
