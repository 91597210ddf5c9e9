import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import type { PeerAddresses } from "./PeerAddresses.js";

/**
 * Lists the steer processes that the platform's list, the records and the settings name, so that peers that were silent
 * are tried again.
 *
 * @param view - what the process knows
 * @param cfg - settings of the instance
 * @returns their addresses
 */
export const listPeerAddresses = (view: SteeringView, cfg: InstanceSettings): PeerAddresses => {
    const local = new Set<string>();
    const remote = new Set<string>();
    const add = (address: string, dataCentre: string | undefined): void => {
        if (address !== cfg.steer.address) {
            (dataCentre === cfg.instance.dataCentre ? local : remote).add(address);
        }
    };
    for (const member of view.members) {
        if (member.kind === "instance" && member.state !== "gone") {
            add(member.steer, member.dataCentre);
        }
    }
    view.records.forEach(record => add(record.steerAddress, record.dataCentre));
    cfg.peers.steer.filter(address => !local.has(address)).forEach(address => add(address, undefined));
    return { local: [...local], remote: [...remote] };
};
