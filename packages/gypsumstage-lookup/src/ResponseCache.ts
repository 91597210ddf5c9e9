import type { Result } from "@gypsumstage/shared/Result";
import type { LookupError } from "./LookupError.js";

/** Cache of serialized lookup answers. */
export interface ResponseCache {
    /** Returns the answer for a service as JSON. */
    readonly get: (service: string | undefined) => Result<string, LookupError>;
}
