import type { PeerState } from "./PeerState.js";

/** State of the other instances, by instance name. */
export type PeerTable = ReadonlyMap<string, PeerState>;
