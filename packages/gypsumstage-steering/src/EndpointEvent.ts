import type { EndpointState } from "./EndpointState.js";

/** An event that changes the endpoint states of an entry. */
export type EndpointEvent =
    /** The list of endpoints, or the division of their slots among the places, changed. */
    | { readonly kind: "listed"; readonly endpoints: readonly ListedEndpoint[]; }
    | {
        readonly kind: "acquired";
        readonly name: string;
        readonly length: "short" | "long";
        readonly nowMs: number;
    }
    | {
        readonly kind: "released";
        readonly name: string;
        readonly launch: string;
        readonly length: "short" | "long";
    }
    /** A latency sample; `ratio` is the latency as a multiple of the typical latency of its class. */
    | { readonly kind: "observed"; readonly name: string; readonly ratio: number; }
    /** The endpoint was unreachable or refused a request. */
    | { readonly kind: "blocked"; readonly name: string; readonly untilMs: number; }
    /** The endpoint signalled that it is leaving. */
    | { readonly kind: "left"; readonly name: string; readonly launch: string; };

type ListedEndpoint = Pick<
    EndpointState,
    "name" | "launch" | "service" | "address" | "ownSlots" | "extraSlots" | "isLeaving"
>;
