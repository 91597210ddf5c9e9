import type { RequestKind } from "@gypsumstage/domain/traffic/RequestKind";

/** Metric labels of a request: `unknown` where it matched no route or no service was chosen. */
export interface ReplyLabels {
    readonly service: string;
    readonly kind: RequestKind | "unknown";
}
