/** Where a request came from: from a caller, or forwarded by the entry of another instance. */
export type RequestSource =
    | { readonly kind: "caller"; }
    | {
        readonly kind: "peer";
        readonly region: string;
        readonly instance: string;
        /** Whether the home of the key has checked the key, so that this entry only has to run the request. */
        readonly isKeyChecked: boolean;
        /** Time at which the key was claimed, in milliseconds since 1970. */
        readonly keyMadeAtMs: number | undefined;
    };
