import type { LookupQuestion } from "@gypsumstage/domain/traffic/LookupQuestion";

/** Path and wire format of look-ups of instances. */
export interface LookupRoute {
    readonly path: string;
    readonly readQuestion: (query: Readonly<Record<string, unknown>>) => LookupQuestion;
    readonly createAnswer: (addresses: readonly string[], ttlMs: number) => unknown;
}
