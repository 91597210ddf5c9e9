import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { Context } from "@opentelemetry/api";
import type { AnswerHeaders } from "../answer/AnswerHeaders.js";
import type { RequestBody } from "./RequestBody.js";
import type { RequestSource } from "./RequestSource.js";

/** One request on its way through the entry. */
export interface Exchange {
    readonly cls: RequestClass;
    readonly method: string;
    /** Path and query. */
    readonly url: string;
    readonly headers: AnswerHeaders;
    readonly body: RequestBody;
    /** On the monotonic clock of this process. */
    readonly deadlineAtMs: number;
    /** Aborts when the deadline has passed, or when the caller has left and the work may be cancelled. */
    readonly signal: AbortSignal;
    readonly source: RequestSource;
    readonly key: string | undefined;
    readonly trace: Context;
}
