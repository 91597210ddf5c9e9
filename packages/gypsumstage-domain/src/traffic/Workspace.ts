/** One customer of the operators, identified by the keys that its callers send. */
export interface Workspace {
    readonly name: string;
    /** Digests of its keys; the keys themselves are kept nowhere. */
    readonly keyDigests: readonly string[];
    /** Rank of its requests, before that of their routes; 0 is the most urgent. Undefined leaves it to the route. */
    readonly priority: number | undefined;
    /** Usage cap over all instances together, in requests per second; 0 for none. */
    readonly requestsPerSecond: number;
    /** Requests that the cap allows at once in addition to its rate. */
    readonly burst: number;
    /** Regions in which its requests may run; empty permits all. */
    readonly permittedRegions: readonly string[];
}
