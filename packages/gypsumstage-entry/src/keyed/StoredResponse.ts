import type { HeaderFields } from "../reply/HeaderFields.js";

/** A response that the home of a key stores for retries of the request. */
export interface StoredResponse {
    readonly status: number;
    readonly headers: HeaderFields;
    /** Undefined when the body was too large to store. */
    readonly body: Buffer | undefined;
}
