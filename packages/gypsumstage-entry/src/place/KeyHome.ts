import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import type { HeaderFields } from "../reply/HeaderFields.js";

/** Location of the home of a key: the only entry that may decide to run the request of the key. */
export type KeyHome =
    | { readonly kind: "here"; readonly madeAtMs: number; }
    | { readonly kind: "elsewhere"; readonly peer: TimestampedRecord; readonly headers: HeaderFields; }
    /** The home is not in the view, or was an earlier process of this instance; the request may have run there. */
    | { readonly kind: "lost"; readonly reason: string; }
    /** The claim of the key could not be determined; the request was not run. */
    | { readonly kind: "unclaimed"; readonly reason: string; };
