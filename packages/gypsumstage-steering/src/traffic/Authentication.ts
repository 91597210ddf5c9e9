import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";

/** Whether a request may be served, and for whom. */
export type Authentication =
    /** The request needs no key. */
    | { readonly kind: "anonymous"; }
    | { readonly kind: "workspace"; readonly workspace: Workspace; }
    | { readonly kind: "unknown-key"; };
