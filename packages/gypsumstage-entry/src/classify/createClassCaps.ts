import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { ClassCaps } from "./ClassCaps.js";

const REFUSALS_COUNT_MS = 2_000;

interface CapUse {
    readonly inFlight: number;
    readonly refused: number;
    readonly refusedAtMs: number;
}

const UNUSED: CapUse = { inFlight: 0, refused: 0, refusedAtMs: 0 };

/**
 * Creates the limiter of classes.
 *
 * @param region - region of the instance
 * @param usable - tells what this instance may use of a resource; undefined when it has no cap
 * @returns the limiter
 */
export const createClassCaps = (
    region: string,
    usable: (resource: string) => number | undefined,
): ClassCaps => {
    const uses = new Map<string, CapUse>();
    const resourceOf = (cls: RequestClass): string => `class:${cls.name}@${region}`;
    const useOf = (resource: string): CapUse => uses.get(resource) ?? UNUSED;
    const hasRoom = (cls: RequestClass): boolean => {
        const resource = resourceOf(cls);
        const amount = usable(resource);
        return amount === undefined || useOf(resource).inFlight + 1 <= amount;
    };
    const release = (resource: string): () => void => {
        let isReleased = false;
        return () => {
            if (!isReleased) {
                isReleased = true;
                const use = useOf(resource);
                uses.set(resource, { ...use, inFlight: use.inFlight - 1 });
            }
        };
    };
    return {
        hasRoom,
        acquire: cls => {
            const resource = resourceOf(cls);
            const use = useOf(resource);
            if (!hasRoom(cls)) {
                const nowMs = monotonicNow();
                const isRecent = nowMs - use.refusedAtMs < REFUSALS_COUNT_MS;
                uses.set(resource, { ...use, refused: isRecent ? use.refused + 1 : 1, refusedAtMs: nowMs });
                return undefined;
            }
            uses.set(resource, { ...use, inFlight: use.inFlight + 1 });
            return release(resource);
        },
        demand: () => {
            const nowMs = monotonicNow();
            const wanted = [...uses].map(([resource, use]) => {
                const refused = nowMs - use.refusedAtMs < REFUSALS_COUNT_MS ? use.refused : 0;
                return [resource, use.inFlight + refused] as const;
            });
            return Object.fromEntries(wanted);
        },
    };
};
