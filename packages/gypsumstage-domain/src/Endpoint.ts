import type { Member } from "./Member.js";

/** An upstream endpoint as listed by the platform. */
export type Endpoint = Extract<Member, { readonly kind: "upstream"; }>;
