/** Why a lookup failed; `nothing-known` while the process has no configuration yet. */
export type LookupError =
    | { readonly kind: "service-missing"; }
    | { readonly kind: "service-unknown"; readonly service: string; }
    | { readonly kind: "nothing-known"; };
