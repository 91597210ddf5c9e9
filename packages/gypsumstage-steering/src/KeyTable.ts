import type { KeyDecision } from "./KeyDecision.js";
import type { KeySettlement } from "./KeySettlement.js";

/** The idempotency keys whose requests one incarnation of a home has run or is running. */
export interface KeyTable<Response> {
    /** Decides how to handle a request; after `execute`, the caller must call `settle`. */
    readonly begin: (key: string, madeAtMs: number, fingerprint: string) => KeyDecision<Response>;
    /** Records the outcome of a request for which `begin` returned `execute`. */
    readonly settle: (key: string, settlement: KeySettlement<Response>) => void;
    /** Returns the number of stored keys. */
    readonly size: () => number;
}
