import type { RequestClass } from "@gypsumstage/domain/RequestClass";

/** The properties of a request by which an endpoint and a slot are chosen. */
export interface SlotRequest {
    readonly cls: RequestClass;
    readonly remainingMs: number;
    /** Names of the endpoints and instances that the request has tried. */
    readonly tried: ReadonlySet<string>;
}
