/** Why a call to the platform failed. */
export type PlatformError =
    /** No usable response: a write may or may not have taken effect. */
    | { readonly kind: "platform-unreachable"; readonly reason: string; }
    /** The condition of a write did not hold: the write certainly had no effect. */
    | { readonly kind: "platform-conflict"; readonly key: string; }
    /** The platform responded, but the object is missing or does not match its digest. */
    | { readonly kind: "platform-object-invalid"; readonly key: string; };
