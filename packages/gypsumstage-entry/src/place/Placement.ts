import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import type { HeldSlot } from "./HeldSlot.js";

/** Where the next attempt of a request is sent, with the reason for traces and error replies. */
export type Placement =
    | { readonly kind: "endpoint"; readonly slot: HeldSlot; readonly reason: string; }
    | { readonly kind: "peer"; readonly peer: TimestampedRecord; readonly reason: string; }
    | { readonly kind: "none"; readonly reason: string; };
