import type { RequestClass } from "@gypsumstage/domain/RequestClass";

/** Limits the requests in flight of each class to this instance's share of the cap of the class. */
export interface ClassLimiter {
    /** Admits one request and returns the function that releases it, or undefined when the share is used up. */
    readonly acquire: (cls: RequestClass) => (() => void) | undefined;
    /** Whether one more request would be admitted. */
    readonly hasCapacity: (cls: RequestClass) => boolean;
    /** Returns the demand by resource: requests in flight plus recently refused ones. */
    readonly demand: () => Readonly<Record<string, number>>;
}
