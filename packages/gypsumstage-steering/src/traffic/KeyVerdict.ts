import type { Authentication } from "./Authentication.js";

/** An authentication, or `unconfirmed` when this instance's copy of the configuration is not known to be recent enough for one. */
export type KeyVerdict = Authentication | { readonly kind: "unconfirmed"; };
