import type { Placement } from "@gypsumstage/steering/traffic/Placement";
import type { Reply } from "./Reply.js";

/** What came of starting an attempt: the endpoint that it was sent to, or why it was not sent. */
export type AttemptStart =
    | Placement
    /** The request was passed on to another instance. */
    | { readonly kind: "relayed"; readonly instance: string; }
    /** Other endpoints could not take the request, and permits for the rate-limited ones are denied for now. */
    | { readonly kind: "rate-limited"; readonly retryAfterMs: number; }
    /** The usage cap of the workspace is exhausted. */
    | { readonly kind: "over-cap"; readonly retryAfterMs: number; }
    /** Endpoints ended while the request was in flight there. */
    | { readonly kind: "ends-endpoints"; readonly retryAfterMs: number; }
    /** The request waited for its turn and will not get it, or too many wait. */
    | { readonly kind: "queue-late" | "queue-full"; readonly retryAfterMs: number; }
    /** The instance stopped while the request waited for its turn. */
    | { readonly kind: "leaving"; readonly retryAfterMs: number; }
    /** The key of the request is not accepted any more. */
    | { readonly kind: "key-refused"; readonly reply: Reply; }
    /** The caller left, or the request ended, before the attempt could be sent. */
    | { readonly kind: "abandoned"; };
