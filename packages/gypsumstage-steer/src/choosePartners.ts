import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";

const pick = (names: readonly string[], random: () => number): readonly string[] => {
    const chosen = names[Math.floor(random() * names.length)];
    return chosen === undefined ? [] : [chosen];
};

/**
 * Chooses the peers to ask in one round: one of the own data centre and one of another, drawn from all that the
 * list, the records and the settings name, so that peers that were silent are tried again.
 *
 * @param view - what the process knows
 * @param cfg - settings of the instance
 * @param random - returns a number from 0 up to 1
 * @returns addresses of steer processes
 */
export const choosePartners = (
    view: SteeringView,
    cfg: InstanceSettings,
    random: () => number,
): readonly string[] => {
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
    return [...pick([...local], random), ...pick([...remote], random)];
};
