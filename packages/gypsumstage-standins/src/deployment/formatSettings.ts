import { formatIni } from "@gypsumstage/domain/formatIni";
import { getAddressBehindProxy } from "./getAddressBehindProxy.js";
import type { PlannedInstance } from "./PlannedInstance.js";

/**
 * Formats the settings of an instance as the text of a settings file.
 *
 * @param instance - instance whose roles read the file
 * @param platform - address of the platform, `IP:port`
 * @param peers - addresses of steer processes of other instances
 * @param isProxied - whether a proxy runs in front of the roles
 * @returns INI text
 */
export const formatSettings = (
    instance: PlannedInstance,
    platform: string,
    peers: readonly string[],
    isProxied: boolean,
): string => {
    const listen = {
        entry: getAddressBehindProxy(instance.entry),
        peer: getAddressBehindProxy(instance.peer),
        lookup: getAddressBehindProxy(instance.lookup),
        steer: getAddressBehindProxy(instance.steer),
    };
    return formatIni({
        instance: {
            name: instance.name,
            launch: instance.launch,
            dataCentre: instance.dataCentre,
            region: instance.region,
            ...(isProxied ? { sourceAddress: instance.host } : {}),
        },
        entry: { address: instance.entry, peer: instance.peer, metrics: instance.metrics },
        lookup: { address: instance.lookup },
        steer: { address: instance.steer },
        ...(isProxied ? { listen } : {}),
        platform: { address: platform },
        peers: { steer: peers.join(", ") },
        log: { level: process.env["GYPSUMSTAGE_LOG"] ?? "error" },
    });
};
