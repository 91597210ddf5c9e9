import type { IntentChange } from "./IntentChange.js";
import type { IntentError } from "./IntentError.js";
import type { Shortfall } from "./Shortfall.js";

/** Why the administration API rejected a request or could not complete it. */
export type AdminError =
    | IntentError
    | { readonly kind: "request-invalid"; readonly reason: string; }
    /** The change contradicts changes accepted since `base`, or `base` is not available; nothing was changed. */
    | {
        readonly kind: "conflict";
        readonly base: number;
        readonly current: number;
        readonly theirs: readonly IntentChange[];
        readonly yours: readonly IntentChange[];
    }
    | { readonly kind: "not-found"; readonly what: string; }
    | { readonly kind: "already-exists"; readonly what: string; }
    /** The remaining capacity is not sufficient for the load that would be drained or moved. */
    | { readonly kind: "shortfall"; readonly shortfalls: readonly Shortfall[]; }
    /** The change will not take effect: the platform failed before the final write, or other writers came first. */
    | { readonly kind: "not-accepted"; readonly reason: string; }
    /** The platform's response was lost and the outcome is unknown: the change may still take effect. */
    | { readonly kind: "acceptance-unknown"; readonly nonce: string; readonly reason: string; };
