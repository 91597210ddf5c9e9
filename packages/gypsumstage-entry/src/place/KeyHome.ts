import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";
import type { AnswerHeaders } from "../answer/AnswerHeaders.js";

/** Location of the home of a key: the home is the only entry that may run the request of the key. */
export type KeyHome =
    | { readonly kind: "here"; readonly madeAtMs: number; }
    | { readonly kind: "elsewhere"; readonly peer: HeardRecord; readonly headers: AnswerHeaders; }
    | { readonly kind: "lost"; readonly reason: string; }
    | { readonly kind: "unclaimed"; readonly reason: string; };
