import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { HeldSlot } from "./HeldSlot.js";
import type { SlotRequest } from "./SlotRequest.js";

/** Assigns the slots of the endpoints, in the order of arrival within each length. */
export interface SlotQueue {
    /** Acquires a slot that is free now; undefined when there is none. */
    readonly tryAcquire: (request: SlotRequest) => HeldSlot | undefined;
    /** Waits for a slot; undefined when none became free in time or the queue is full. */
    readonly acquire: (request: SlotRequest, waitMs: number) => Promise<HeldSlot | undefined>;
    /** Assigns free slots to the waiting requests; to be called when the endpoints have changed. */
    readonly assignFreeSlots: () => void;
    /** Returns the number of slots that are free for work of the given length, by service. */
    readonly freeSlots: (length: RequestClass["length"]) => Readonly<Record<string, number>>;
}
