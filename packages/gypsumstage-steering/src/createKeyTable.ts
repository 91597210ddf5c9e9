import { invariant } from "@gypsumstage/shared/invariant";
import type { KeyDecision } from "./KeyDecision.js";
import type { KeySettlement } from "./KeySettlement.js";
import type { KeyTable } from "./KeyTable.js";

interface KeyTableOptions {
    readonly capacity: number;
    /** Maximum difference between a key's time and the home's clock, in either direction. */
    readonly windowMs: number;
    /** Wall clock in milliseconds since 1970 that never steps back within the life of the process. */
    readonly nowMs: () => number;
}

interface StoredKey<Response> {
    readonly fingerprint: string;
    readonly madeAtMs: number;
    readonly settlement: KeySettlement<Response> | undefined;
    readonly settled: Promise<KeySettlement<Response>>;
    readonly resolve: (settlement: KeySettlement<Response>) => void;
}

/**
 * Creates the table of the idempotency keys of a home. The key of a request that may have run is kept until its time
 * has left the window, and a key outside the window never runs. So a key runs at most once in the life of the process,
 * whatever the callers' clocks show. A full table refuses new keys instead of evicting a key early.
 *
 * @param options - capacity in keys, window and clock
 * @returns an empty table
 */
export const createKeyTable = <Response>(options: KeyTableOptions): KeyTable<Response> => {
    const keys = new Map<string, StoredKey<Response>>();
    const evictExpired = (): void => {
        const oldestMs = options.nowMs() - options.windowMs;
        for (const [key, stored] of keys) {
            if (stored.madeAtMs < oldestMs && stored.settlement !== undefined) {
                keys.delete(key);
            }
        }
    };
    const decideStored = (stored: StoredKey<Response>, fingerprint: string): KeyDecision<Response> => {
        if (stored.fingerprint !== fingerprint) {
            return { kind: "mismatch" };
        }
        return stored.settlement === undefined
            ? { kind: "join", settled: stored.settled }
            : { kind: "replay", settlement: stored.settlement };
    };
    return {
        begin: (key, madeAtMs, fingerprint) => {
            const nowMs = options.nowMs();
            const stored = keys.get(key);
            if (stored !== undefined) {
                return decideStored(stored, fingerprint);
            }
            if (madeAtMs < nowMs - options.windowMs) {
                return { kind: "too-old" };
            }
            if (madeAtMs > nowMs + options.windowMs) {
                return { kind: "from-the-future" };
            }
            if (keys.size >= options.capacity) {
                evictExpired();
            }
            if (keys.size >= options.capacity) {
                return { kind: "full" };
            }
            const { promise, resolve } = createDeferred<KeySettlement<Response>>();
            keys.set(key, { fingerprint, madeAtMs, settlement: undefined, settled: promise, resolve });
            return { kind: "execute" };
        },
        settle: (key, settlement) => {
            const stored = keys.get(key);
            invariant(stored !== undefined && stored.settlement === undefined, "key-settled-twice");
            if (settlement.kind === "not-run") {
                keys.delete(key);
            }
            else {
                keys.set(key, { ...stored, settlement });
            }
            stored.resolve(settlement);
        },
        size: () => keys.size,
    };
};

const createDeferred = <Value>(): {
    readonly promise: Promise<Value>;
    readonly resolve: (value: Value) => void;
} => {
    let resolve: (value: Value) => void = () => undefined;
    const promise = new Promise<Value>(accept => {
        resolve = accept;
    });
    return { promise, resolve };
};
