import type { AttemptStart } from "./AttemptStart.js";

/**
 * Returns whether an attempt was started.
 *
 * @param start - what came of starting it
 * @returns true when the request was sent to an endpoint or passed on to another instance
 */
export const isStarted = (
    start: AttemptStart,
): start is Extract<AttemptStart, { readonly kind: "placed" | "relayed"; }> =>
    start.kind === "placed" || start.kind === "relayed";
