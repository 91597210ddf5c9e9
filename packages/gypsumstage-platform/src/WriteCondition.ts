/** Precondition of a write: the object does not exist, or has the given version. */
export type WriteCondition =
    | { readonly kind: "absent"; }
    | { readonly kind: "version"; readonly version: number; };
