import type { SuspectRequest } from "./SuspectRequest.js";

/**
 * Lists the endpoints that ended with a request in flight since it was last run successfully.
 *
 * @param suspect - the request
 * @returns hashes of the endpoints' runs
 */
export const listEndedRuns = ({ endedAtMs, answeredAtMs = -Infinity }: SuspectRequest): readonly string[] =>
    [...endedAtMs].filter(([, atMs]) => atMs > answeredAtMs).map(([run]) => run);
