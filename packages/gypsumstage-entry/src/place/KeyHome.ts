import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import type { HeaderFields } from "../reply/HeaderFields.js";

/** Location of the home of a key: the home is the only entry that may run the request of the key. */
export type KeyHome =
    | { readonly kind: "here"; readonly madeAtMs: number; }
    | { readonly kind: "elsewhere"; readonly peer: TimestampedRecord; readonly headers: HeaderFields; }
    | { readonly kind: "lost"; readonly reason: string; }
    | { readonly kind: "unclaimed"; readonly reason: string; };
