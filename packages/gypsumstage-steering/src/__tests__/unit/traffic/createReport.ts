import type { PeerReport } from "../../../traffic/PeerReport.js";

/**
 * Creates the report of a ready instance in data centre `kutch-a` that does not read the store.
 *
 * @param name - name of the instance
 * @param fields - fields that replace the defaults
 * @returns the report
 */
export const createReport = (name: string, fields: Partial<PeerReport> = {}): PeerReport => ({
    name,
    dataCentre: "kutch-a",
    region: "kutch",
    address: `${name}:1`,
    incarnation: "i",
    internalAddress: `${name}:2`,
    isReady: true,
    topics: {},
    storeAgeMs: undefined,
    inFlight: {},
    demand: {},
    placed: {},
    peers: [],
    ...fields,
});
