import { invariant } from "@gypsumstage/shared/invariant";
import type { KeySettlement } from "./KeySettlement.js";
import type { KeyTable } from "./KeyTable.js";
import type { KeyVerdict } from "./KeyVerdict.js";

interface KeyTableOptions {
    readonly capacity: number;
    /** How far a key's time may lie from the home's clock, in milliseconds. */
    readonly windowMs: number;
    /** Wall clock that never steps back while the process lives, in milliseconds since 1970. */
    readonly nowMs: () => number;
}

interface HeldKey<Answer> {
    readonly fingerprint: string;
    readonly madeAtMs: number;
    readonly settlement: KeySettlement<Answer> | undefined;
    readonly settled: Promise<KeySettlement<Answer>>;
    readonly resolve: (settlement: KeySettlement<Answer>) => void;
}

/**
 * Creates the memory of a home for idempotency keys. Every key whose time lies within the window is remembered
 * until its time has left the window, and a key outside the window never runs: so a key runs at most once in
 * the life of the process, whatever the callers' clocks show. A full table refuses new keys rather than
 * forget one early.
 *
 * @param options - capacity, window and clock
 * @returns the table
 */
export const createKeyTable = <Answer>(options: KeyTableOptions): KeyTable<Answer> => {
    const keys = new Map<string, HeldKey<Answer>>();
    const forgetOld = (): void => {
        const oldest = options.nowMs() - options.windowMs;
        for (const [key, held] of keys) {
            if (held.madeAtMs < oldest && held.settlement !== undefined) {
                keys.delete(key);
            }
        }
    };
    const judgeHeld = (held: HeldKey<Answer>, fingerprint: string): KeyVerdict<Answer> => {
        if (held.fingerprint !== fingerprint) {
            return { kind: "mismatch" };
        }
        return held.settlement === undefined
            ? { kind: "join", settled: held.settled }
            : { kind: "replay", settlement: held.settlement };
    };
    return {
        begin: (key, madeAtMs, fingerprint) => {
            const now = options.nowMs();
            const held = keys.get(key);
            if (held !== undefined) {
                return judgeHeld(held, fingerprint);
            }
            if (madeAtMs < now - options.windowMs) {
                return { kind: "too-old" };
            }
            if (madeAtMs > now + options.windowMs) {
                return { kind: "from-the-future" };
            }
            if (keys.size >= options.capacity) {
                forgetOld();
            }
            if (keys.size >= options.capacity) {
                return { kind: "full" };
            }
            const { promise, resolve } = createDeferred<KeySettlement<Answer>>();
            keys.set(key, { fingerprint, madeAtMs, settlement: undefined, settled: promise, resolve });
            return { kind: "execute" };
        },
        settle: (key, settlement) => {
            const held = keys.get(key);
            invariant(held !== undefined && held.settlement === undefined, "key-settled-twice");
            if (settlement.kind === "not-run") {
                keys.delete(key);
            }
            else {
                keys.set(key, { ...held, settlement });
            }
            held.resolve(settlement);
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
