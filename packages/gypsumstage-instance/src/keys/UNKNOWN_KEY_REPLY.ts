import type { Reply } from "../request/Reply.js";

const STATUS_UNAUTHORIZED = 401;

/** Reply to a request whose key is certain to belong to no workspace. */
export const UNKNOWN_KEY_REPLY: Extract<Reply, { readonly kind: "rejected"; }> = {
    kind: "rejected",
    reason: "unknown-key",
    status: STATUS_UNAUTHORIZED,
};
