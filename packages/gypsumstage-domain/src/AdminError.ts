import type { IntentChange } from "./IntentChange.js";
import type { IntentError } from "./IntentError.js";
import type { Shortfall } from "./Shortfall.js";

/** Why the administration API did not do what it was asked. */
export type AdminError =
    | IntentError
    | { readonly kind: "request-invalid"; readonly reason: string; }
    /** Another operator changed the same thing since the base; nothing was changed by this request. */
    | {
        readonly kind: "conflict";
        readonly base: number;
        readonly current: number;
        readonly theirs: readonly IntentChange[];
        readonly yours: readonly IntentChange[];
    }
    | { readonly kind: "not-found"; readonly what: string; }
    | { readonly kind: "already-exists"; readonly what: string; }
    /** The rest of the system cannot carry what would be moved. */
    | { readonly kind: "shortfall"; readonly shortfalls: readonly Shortfall[]; }
    /** Certainly not accepted: the platform could not be reached before anything was written. */
    | { readonly kind: "not-accepted"; readonly reason: string; }
    /** The platform's answer was lost and could not be settled: the change may be in force later. */
    | { readonly kind: "acceptance-unknown"; readonly nonce: string; readonly reason: string; };
