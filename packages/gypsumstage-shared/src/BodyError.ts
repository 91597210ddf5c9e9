/** Why the body of a response could not be read as JSON. */
export type BodyError =
    | { readonly kind: "body-too-large"; readonly maxBytes: number; }
    | { readonly kind: "body-malformed"; readonly reason: string; };
