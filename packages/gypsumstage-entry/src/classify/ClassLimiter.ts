import type { RequestClass } from "@gypsumstage/domain/RequestClass";

/** Holds the requests in flight of each class under this instance's part of the class's cap. */
export interface ClassLimiter {
    /** Takes one request in; undefined when the part is used up, else the function that gives it back. */
    readonly acquire: (cls: RequestClass) => (() => void) | undefined;
    /** Whether one more request would be taken. */
    readonly hasRoom: (cls: RequestClass) => boolean;
    /** What is wanted, by resource. */
    readonly demand: () => Readonly<Record<string, number>>;
}
