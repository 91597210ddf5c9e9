import type { RequestKind } from "@gypsumstage/domain/traffic/RequestKind";

/** What a request was, for the metrics: `unknown` where it matched no route or got no service. */
export interface ReplyLabels {
    readonly service: string;
    readonly kind: RequestKind | "unknown";
}
