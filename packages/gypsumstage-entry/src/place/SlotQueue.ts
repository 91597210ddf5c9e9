import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { HeldSlot } from "./HeldSlot.js";
import type { SlotRequest } from "./SlotRequest.js";

/** Gives out the slots of the endpoints, in the order of asking within each length. */
export interface SlotQueue {
    /** Takes a slot that is free now. */
    readonly tryAcquire: (request: SlotRequest) => HeldSlot | undefined;
    /** Waits for a slot; undefined when none came free in time or the queue is full. */
    readonly acquire: (request: SlotRequest, waitMs: number) => Promise<HeldSlot | undefined>;
    /** Gives free slots to those that wait; called when the endpoints changed. */
    readonly serve: () => void;
    /** Slots that are free for work of the given length, by service. */
    readonly freeSlots: (length: RequestClass["length"]) => Readonly<Record<string, number>>;
}
