/** A difference between two fleet views, as it is logged. */
export type ViewChange =
    | { readonly change: "policy"; readonly version: number; readonly before: number | undefined; }
    | {
        readonly change: "endpoint-joined" | "endpoint-draining" | "endpoint-gone";
        readonly endpoint: string;
    }
    | { readonly change: "evacuation-begun" | "evacuation-ended"; readonly dataCentre: string; };
