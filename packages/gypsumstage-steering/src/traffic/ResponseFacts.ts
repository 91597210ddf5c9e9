/** Properties of an endpoint's response that classify an attempt, independent of header names. */
export interface ResponseFacts {
    readonly status: number;
    /** Whether the response carries the id of this request, of another one, or no id. */
    readonly requestMatch: "this" | "other" | "none";
    /**
     * True when the connection carried no response before, so that one without an id can't be a copy of the response to an earlier
     * request.
     */
    readonly isFirstOnConnection: boolean;
    /** True when the response carries the stamp that endpoints put on their responses. */
    readonly isStamped: boolean;
    /** True when the endpoint states that it did not run the request. */
    readonly isDeclaredNotRun: boolean;
    /** True when another endpoint now has the address. */
    readonly isAddressReassigned: boolean;
    /** True when the body was changed in transit. */
    readonly isEncoded: boolean;
}
