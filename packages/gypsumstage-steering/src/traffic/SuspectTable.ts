import type { SuspectRequest } from "./SuspectRequest.js";

/** Suspect requests by digest. */
export type SuspectTable = ReadonlyMap<string, SuspectRequest>;
