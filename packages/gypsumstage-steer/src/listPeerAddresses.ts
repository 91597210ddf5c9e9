import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import type { PeerAddresses } from "./PeerAddresses.js";

/**
 * Lists the other steer processes found in the list of members, the records and the settings. The list and the
 * settings are included so that peers that have been silent are tried again.
 *
 * @param view - the current steering view
 * @param cfg - settings of the instance
 * @returns their addresses, without that of this process
 */
export const listPeerAddresses = (view: SteeringView, cfg: InstanceSettings): PeerAddresses => {
    const local = new Set<string>();
    const remote = new Set<string>();
    const addAddress = (address: string, dataCentre: string | undefined): void => {
        if (address !== cfg.steer.address) {
            (dataCentre === cfg.instance.dataCentre ? local : remote).add(address);
        }
    };
    for (const member of view.members) {
        if (member.kind === "instance" && member.state !== "gone") {
            addAddress(member.steer, member.dataCentre);
        }
    }
    view.records.forEach(record => addAddress(record.steerAddress, record.dataCentre));
    cfg.peers.steer.filter(address => !local.has(address)).forEach(address => addAddress(address, undefined));
    return { local: [...local], remote: [...remote] };
};
