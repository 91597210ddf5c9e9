import type { LookupQuery } from "@gypsumstage/domain/traffic/LookupQuery";

/** Path and wire format of callers' instance lookups. */
export interface LookupRoute {
    readonly path: string;
    readonly parseQuery: (query: Readonly<Record<string, unknown>>) => LookupQuery;
    readonly createResponseBody: (addresses: readonly string[], ttlMs: number) => unknown;
}
