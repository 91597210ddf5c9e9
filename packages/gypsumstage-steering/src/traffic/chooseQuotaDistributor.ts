import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import type { PeerReport } from "./PeerReport.js";

/**
 * Chooses the instance of a data centre that grants the permits of a group of workspaces there.
 *
 * @param dataCentre - the data centre
 * @param group - number of the group
 * @param instances - the live instances that serve requests
 * @returns name of the distributor; undefined when the data centre has no instances
 */
export const chooseQuotaDistributor = (
    dataCentre: string,
    group: number,
    instances: readonly Pick<PeerReport, "name" | "dataCentre">[],
): string | undefined => {
    const names = instances.filter(each => each.dataCentre === dataCentre).map(each => each.name);
    return rankByRendezvousHash(`quota/${dataCentre}/${group}`, names)[0];
};
