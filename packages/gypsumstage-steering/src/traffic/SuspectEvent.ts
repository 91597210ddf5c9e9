import type { SuspectRequest } from "./SuspectRequest.js";

/** What becomes known of suspect requests. Times are monotonic. */
export type SuspectEvent =
    /** An endpoint ended while the request was in flight there, or another instance told so. */
    | { readonly kind: "ended"; readonly suspect: SuspectRequest; }
    /** An endpoint ran the request successfully. */
    | { readonly kind: "answered"; readonly digest: string; readonly atMs: number; }
    /** Time passed. */
    | { readonly kind: "expired"; readonly nowMs: number; };
