import type { Member } from "./Member.js";

/** An upstream endpoint as the platform lists it. */
export type Endpoint = Extract<Member, { readonly kind: "upstream"; }>;
