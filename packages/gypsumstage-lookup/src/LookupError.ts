/** Why a lookup cannot be answered; `nothing-known` while the process has no configuration yet. */
export type LookupError =
    | { readonly kind: "service-missing"; }
    | { readonly kind: "service-unknown"; readonly service: string; }
    | { readonly kind: "nothing-known"; };
