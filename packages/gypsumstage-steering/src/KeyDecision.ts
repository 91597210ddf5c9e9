import type { KeySettlement } from "./KeySettlement.js";

/** How a home handles a request with an idempotency key. */
export type KeyDecision<Response> =
    /** The key is new, or its earlier attempt certainly did not run: run the request, then settle the key. */
    | { readonly kind: "execute"; }
    /** The same request is in flight: wait for its outcome. */
    | { readonly kind: "join"; readonly settled: Promise<KeySettlement<Response>>; }
    /** The request has ended: return its outcome. */
    | { readonly kind: "replay"; readonly settlement: KeySettlement<Response>; }
    /** The key is older than the retention window, so it is unknown whether the request ran. */
    | { readonly kind: "too-old"; }
    /** The key's time is too far ahead of the home's clock; the request was not run. */
    | { readonly kind: "from-the-future"; }
    /** The table is full; the request was not run. */
    | { readonly kind: "full"; }
    /** The key is stored for a different request. */
    | { readonly kind: "mismatch"; };
