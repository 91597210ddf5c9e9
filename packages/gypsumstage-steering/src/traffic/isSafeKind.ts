import type { RequestKind } from "@gypsumstage/domain/traffic/RequestKind";

/**
 * Returns whether requests of a kind may run more than once.
 *
 * @param kind - the kind of the route
 * @returns true when a request may be retried after it may have run
 */
export const isSafeKind = (kind: RequestKind): boolean => kind === "safe" || kind === "download";
