/** Properties of an endpoint's response that classify an attempt, independent of header names. */
export interface AnswerFacts {
    readonly status: number;
    /** Whether the response carries the id of this request, of another one, or no id. */
    readonly namedRequest: "this" | "other" | "none";
    /** True when the response carries the stamp that endpoints put on their responses. */
    readonly isStamped: boolean;
    /** True when the endpoint states that it did not run the request. */
    readonly isNotRun: boolean;
    /** True when another endpoint now has the address. */
    readonly isOtherEndpoint: boolean;
    /** True when the body was changed in transit. */
    readonly isEncoded: boolean;
}
