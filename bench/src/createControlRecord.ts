import type { InstanceRecord } from "@gypsumstage/domain/InstanceRecord";
import { CONTROL_NETWORK } from "./CONTROL_NETWORK.js";

/**
 * Creates the record of one instance of a simulated fleet.
 *
 * @param index - number of the instance, from 0
 * @param peerCount - number of stand-in peers; the steer addresses of the fleet are spread over them
 * @returns the record, with the current time as its sequence number
 */
export const createControlRecord = (index: number, peerCount: number): InstanceRecord => ({
    name: `node-${index}`,
    launch: "l1",
    dataCentre: `dc-${index % 139}`,
    region: `region-${index % 54}`,
    entryAddress: `10.0.${index >> 8}.${index & 255}:8080`,
    peerAddress: `10.0.${index >> 8}.${index & 255}:8081`,
    steerAddress: `127.${CONTROL_NETWORK}.2.${index % peerCount + 1}:8090`,
    sequence: Date.now(),
    generation: 1,
    entry: {
        incarnation: "AAAAAAAAAAAA",
        isLeaving: false,
        generation: 1,
        inFlight: { "berth-desk": 3, "booking-ledger": 1, "document-intake": 2 },
        freeSlots: { "berth-desk": 3, "booking-ledger": 1, "document-intake": 2 },
        freeLongSlots: {},
        demand: {},
        drainedInFlight: {},
        acknowledged: {},
    },
});
