/** Where a request came from. */
export type RequestSource =
    | { readonly kind: "caller"; }
    | {
        readonly kind: "peer";
        readonly region: string;
        readonly instance: string;
        /** The home of the key has decided; this entry only runs the request. */
        readonly isKeyChecked: boolean;
        /** Time of a claimed key, in milliseconds since 1970. */
        readonly keyMadeAtMs: number | undefined;
    };
