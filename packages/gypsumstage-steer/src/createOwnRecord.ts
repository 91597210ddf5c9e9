import type { InstanceRecord } from "@gypsumstage/domain/InstanceRecord";
import type { SteerContext } from "./SteerContext.js";

/**
 * Makes the record that this instance tells the others. The sequence follows the wall clock, so that it also
 * grows when the process is restarted within one launch.
 *
 * @param context - the process
 * @returns the record
 */
export const createOwnRecord = ({ cfg, local }: SteerContext): InstanceRecord => ({
    name: cfg.instance.name,
    launch: cfg.instance.launch,
    dataCentre: cfg.instance.dataCentre,
    region: cfg.instance.region,
    entryAddress: cfg.entry.address,
    peerAddress: cfg.entry.peer,
    steerAddress: cfg.steer.address,
    sequence: Date.now(),
    generation: local.generation(),
    entry: local.entry(),
});
