import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { Context } from "@opentelemetry/api";
import type { HeaderFields } from "../reply/HeaderFields.js";
import type { RequestBody } from "./RequestBody.js";
import type { RequestSource } from "./RequestSource.js";

/** A request that the entry process is handling. */
export interface Exchange {
    readonly cls: RequestClass;
    readonly method: string;
    /** Path and query. */
    readonly url: string;
    readonly headers: HeaderFields;
    readonly body: RequestBody;
    /** Time on the monotonic clock of this process. */
    readonly deadlineAtMs: number;
    /** Aborts when the deadline has passed, or when the caller has disconnected and the work may be cancelled. */
    readonly signal: AbortSignal;
    readonly source: RequestSource;
    /** The idempotency key. */
    readonly key: string | undefined;
    readonly trace: Context;
}
