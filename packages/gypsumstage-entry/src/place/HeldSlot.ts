import type { EndpointState } from "@gypsumstage/steering/EndpointState";

/** A slot of an endpoint, held for one request. */
export interface HeldSlot {
    readonly endpoint: EndpointState;
    readonly waitedMs: number;
    /** Gives the slot back; further calls do nothing. */
    readonly release: () => void;
}
