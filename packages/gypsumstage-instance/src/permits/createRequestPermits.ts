import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { PermitDecision } from "@gypsumstage/steering/traffic/PermitDecision";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { EndpointRateLimits } from "../upstream/EndpointRateLimits.js";
import type { RequestPermits } from "./RequestPermits.js";

/** Requests for permits that one request may wait for: others may take what the first one brought. */
const MAX_QUERIES = 2;

interface PermitStock {
    readonly startedAt: number;
    readonly permits: number;
    readonly permitsValidUntilMs: number;
    readonly deniedUntilMs: number;
}

/**
 * Creates the permits of this instance. Requests that need one at the same time share a query to the issuer, and after a
 * denial none is sent until the time that the issuer named.
 *
 * @param rateLimits - the limits that endpoints stated
 * @param query - requests permits from the issuer; a failed query counts as a denial
 * @param metrics - counts granted and denied permits
 * @returns the permits, none of which is available yet
 */
export const createRequestPermits = (
    rateLimits: Pick<EndpointRateLimits, "ratePerSecond">,
    query: (endpoint: UpstreamEndpoint, ratePerSecond: number) => Promise<PermitDecision>,
    metrics: Pick<InstanceMetrics, "countPermit">,
): RequestPermits => {
    const stocks = new Map<string, PermitStock>();
    const pending = new Map<string, Promise<void>>();
    const isNeeded = (endpoint: UpstreamEndpoint): boolean =>
        rateLimits.ratePerSecond(endpoint) !== undefined;
    const getStock = (endpoint: UpstreamEndpoint): PermitStock | undefined => {
        const stock = stocks.get(endpoint.id);
        return stock?.startedAt === endpoint.startedAt ? stock : undefined;
    };
    const deniedForMs = (endpoint: UpstreamEndpoint): number =>
        isNeeded(endpoint) ? Math.max(0, (getStock(endpoint)?.deniedUntilMs ?? 0) - monotonicNow()) : 0;
    const takeFromStock = (endpoint: UpstreamEndpoint): boolean => {
        const stock = getStock(endpoint);
        if (stock === undefined || stock.permits < 1 || stock.permitsValidUntilMs < monotonicNow()) {
            return false;
        }
        stocks.set(endpoint.id, { ...stock, permits: stock.permits - 1 });
        return true;
    };
    const dropExpired = (nowMs: number): void => {
        for (const [id, { permitsValidUntilMs, deniedUntilMs }] of stocks) {
            if (permitsValidUntilMs < nowMs && deniedUntilMs < nowMs) {
                stocks.delete(id);
            }
        }
    };
    const refill = async (endpoint: UpstreamEndpoint): Promise<void> => {
        const decision = await query(endpoint, rateLimits.ratePerSecond(endpoint) ?? 0);
        const nowMs = monotonicNow();
        dropExpired(nowMs);
        stocks.set(
            endpoint.id,
            decision.kind === "granted"
                ? {
                    startedAt: endpoint.startedAt,
                    permits: decision.count,
                    permitsValidUntilMs: nowMs + decision.validForMs,
                    deniedUntilMs: 0,
                }
                : {
                    startedAt: endpoint.startedAt,
                    permits: 0,
                    permitsValidUntilMs: 0,
                    deniedUntilMs: nowMs + decision.retryAfterMs,
                },
        );
    };
    const refillOnce = (endpoint: UpstreamEndpoint): Promise<void> => {
        const running = pending.get(endpoint.id);
        if (running !== undefined) {
            return running;
        }
        const started = refill(endpoint).finally(() => pending.delete(endpoint.id));
        pending.set(endpoint.id, started);
        return started;
    };
    const takeOrQuery = async (endpoint: UpstreamEndpoint): Promise<boolean> => {
        for (let queries = 0; queries < MAX_QUERIES; queries++) {
            if (takeFromStock(endpoint)) {
                return true;
            }
            if (deniedForMs(endpoint) > 0) {
                return false;
            }
            await refillOnce(endpoint);
        }
        return takeFromStock(endpoint);
    };
    return {
        isNeeded,
        deniedForMs,
        take: async endpoint => {
            if (!isNeeded(endpoint)) {
                return true;
            }
            const isGranted = await takeOrQuery(endpoint);
            metrics.countPermit(endpoint.service, isGranted ? "granted" : "denied");
            return isGranted;
        },
    };
};
