import type { EndpointState } from "@gypsumstage/steering/EndpointState";

/** A slot of an endpoint that is in use by one request. */
export interface HeldSlot {
    readonly endpoint: EndpointState;
    readonly waitedMs: number;
    /** Releases the slot; further calls do nothing. */
    readonly release: () => void;
}
