/** What must hold for a write to take effect. */
export type WriteCondition =
    | { readonly kind: "absent"; }
    | { readonly kind: "version"; readonly version: number; };
