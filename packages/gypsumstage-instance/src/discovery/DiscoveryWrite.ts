import type { DiscoveryRecord } from "./DiscoveryRecord.js";

/** Result of writing the discovery record. */
export type DiscoveryWrite =
    | { readonly kind: "written"; }
    /** Another instance wrote first; `record` is what it wrote, when the store tells. */
    | { readonly kind: "conflict"; readonly record: DiscoveryRecord | undefined; };
