import type { TrafficPolicy } from "./TrafficPolicy.js";
import type { UpstreamEndpoint } from "./UpstreamEndpoint.js";

/** Decoded content of an object of the store; a `malformed` object has no content that may be acted on. */
export type TopicValue =
    | { readonly kind: "policy"; readonly policy: TrafficPolicy; }
    | { readonly kind: "endpoint"; readonly endpoint: UpstreamEndpoint; }
    | { readonly kind: "evacuation"; readonly dataCentre: string; }
    | { readonly kind: "malformed"; readonly reason: string; };
