import { rankByRendezvousHash } from "../rankByRendezvousHash.js";

/**
 * Returns whether an instance is the one that probes a request which ended endpoints. All others go on refusing it, so that
 * the probes of a large fleet don't end an endpoint each.
 *
 * @param digest - hash of the request
 * @param name - name of the instance
 * @param readyNames - names of the live instances that serve requests
 * @returns true when it is the first of them by rendezvous hashing
 */
export const isProber = (digest: string, name: string, readyNames: readonly string[]): boolean =>
    rankByRendezvousHash(`probe/${digest}`, readyNames)[0] === name;
