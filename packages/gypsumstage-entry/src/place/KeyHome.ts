import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";
import type { AnswerHeaders } from "../answer/AnswerHeaders.js";

/** The entry that alone may run a key. */
export type KeyHome =
    | { readonly kind: "here"; readonly madeAtMs: number; }
    | { readonly kind: "elsewhere"; readonly peer: HeardRecord; readonly headers: AnswerHeaders; }
    | { readonly kind: "lost"; readonly reason: string; }
    | { readonly kind: "unclaimed"; readonly reason: string; };
