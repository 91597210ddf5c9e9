import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { ClassLimiter } from "./ClassLimiter.js";

const REFUSAL_WINDOW_MS = 2_000;

interface CapUsage {
    readonly inFlight: number;
    readonly refused: number;
    readonly refusedAtMs: number;
}

const NO_USAGE: CapUsage = { inFlight: 0, refused: 0, refusedAtMs: 0 };

/**
 * Creates the limiter of the requests in flight of each class.
 *
 * @param region - region of the instance
 * @param getUsable - returns how much of a resource this instance may use; undefined when the resource has no cap
 * @returns the limiter
 */
export const createClassLimiter = (
    region: string,
    getUsable: (resource: string) => number | undefined,
): ClassLimiter => {
    const usageByResource = new Map<string, CapUsage>();
    const getResource = (cls: RequestClass): string => `class:${cls.name}@${region}`;
    const getUsage = (resource: string): CapUsage => usageByResource.get(resource) ?? NO_USAGE;
    const hasCapacity = (cls: RequestClass): boolean => {
        const resource = getResource(cls);
        const usable = getUsable(resource);
        return usable === undefined || getUsage(resource).inFlight + 1 <= usable;
    };
    const createRelease = (resource: string): () => void => {
        let isReleased = false;
        return () => {
            if (!isReleased) {
                isReleased = true;
                const usage = getUsage(resource);
                usageByResource.set(resource, { ...usage, inFlight: usage.inFlight - 1 });
            }
        };
    };
    return {
        hasCapacity,
        acquire: cls => {
            const resource = getResource(cls);
            const usage = getUsage(resource);
            if (!hasCapacity(cls)) {
                const nowMs = monotonicNow();
                const isRecent = nowMs - usage.refusedAtMs < REFUSAL_WINDOW_MS;
                usageByResource.set(resource, {
                    ...usage,
                    refused: isRecent ? usage.refused + 1 : 1,
                    refusedAtMs: nowMs,
                });
                return undefined;
            }
            usageByResource.set(resource, { ...usage, inFlight: usage.inFlight + 1 });
            return createRelease(resource);
        },
        demand: () => {
            const nowMs = monotonicNow();
            const demands = [...usageByResource].map(([resource, usage]) => {
                const refused = nowMs - usage.refusedAtMs < REFUSAL_WINDOW_MS ? usage.refused : 0;
                return [resource, usage.inFlight + refused] as const;
            });
            return Object.fromEntries(demands);
        },
    };
};
