import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";

/**
 * Reads the member record of the sender of a report.
 *
 * @param report - the report
 * @returns the record; undefined when the sender's build knows no membership
 */
export const toMemberRecord = (report: PeerReport): MemberRecord | undefined => {
    const { generation, version, name, dataCentre, region, address, internalAddress, incarnation, isReady } =
        report;
    if (generation === undefined || version === undefined) {
        return undefined;
    }
    return {
        name,
        dataCentre,
        region,
        address,
        internalAddress,
        ...(report.relayAddress === undefined ? {} : { relayAddress: report.relayAddress }),
        incarnation,
        generation,
        version,
        isGone: false,
        isReady,
        cutServices: report.cutServices ?? [],
        ...(report.isUnconfirmed === true ? { isUnconfirmed: true } : {}),
    };
};
