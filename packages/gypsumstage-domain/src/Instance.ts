import type { Member } from "./Member.js";

/** An entry instance as the platform lists it. */
export type Instance = Extract<Member, { readonly kind: "instance"; }>;
