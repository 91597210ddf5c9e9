/** Why a look-up got no answer. */
export type LookupError =
    | { readonly kind: "service-missing"; }
    | { readonly kind: "service-unknown"; readonly service: string; }
    | { readonly kind: "nothing-known"; };
