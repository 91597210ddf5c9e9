import type { KeySettlement } from "./KeySettlement.js";

/** What a home decides about a request with an idempotency key. */
export type KeyVerdict<Answer> =
    /** The key is new, or was certainly not run before: run it, then settle it. */
    | { readonly kind: "execute"; }
    /** The same request runs now: wait for its end. */
    | { readonly kind: "join"; readonly settled: Promise<KeySettlement<Answer>>; }
    /** The request has run. */
    | { readonly kind: "replay"; readonly settlement: KeySettlement<Answer>; }
    /** The key is older than the home remembers: whether it ran cannot be told. */
    | { readonly kind: "too-old"; }
    /** The key was made later than the home's clock allows; it was not run. */
    | { readonly kind: "from-the-future"; }
    /** The home cannot remember another key; it was not run. */
    | { readonly kind: "full"; }
    /** The key was used for another request. */
    | { readonly kind: "mismatch"; };
