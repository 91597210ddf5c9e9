import type { KeySettlement } from "./KeySettlement.js";
import type { KeyVerdict } from "./KeyVerdict.js";

/** The keys that one home incarnation has run or is running. */
export interface KeyTable<Answer> {
    /** Decides about a request; `execute` must be followed by `settle`. */
    readonly begin: (key: string, madeAtMs: number, fingerprint: string) => KeyVerdict<Answer>;
    /** Records how a key ended that `begin` let run. */
    readonly settle: (key: string, settlement: KeySettlement<Answer>) => void;
    /** Number of keys remembered. */
    readonly size: () => number;
}
