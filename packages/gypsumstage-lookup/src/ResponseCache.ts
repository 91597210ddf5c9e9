import type { Result } from "@gypsumstage/shared/Result";
import type { LookupError } from "./LookupError.js";

/** Cache of serialized lookup responses. */
export interface ResponseCache {
    /** Returns the response for a service as JSON. */
    readonly get: (service: string | undefined) => Result<string, LookupError>;
}
