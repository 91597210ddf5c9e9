import type { RequestClass } from "@gypsumstage/domain/RequestClass";

/** What a request needs of an endpoint. */
export interface SlotRequest {
    readonly cls: RequestClass;
    readonly remainingMs: number;
    readonly tried: ReadonlySet<string>;
}
