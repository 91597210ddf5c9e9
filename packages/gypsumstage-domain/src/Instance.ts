import type { Member } from "./Member.js";

/** An instance as listed by the platform. */
export type Instance = Extract<Member, { readonly kind: "instance"; }>;
