import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { DataCentreSummary } from "@gypsumstage/steering/traffic/DataCentreSummary";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import { isMemberRecord } from "./isMemberRecord.js";
import type { MemberQuery } from "./MemberQuery.js";
import type { Membership } from "./Membership.js";

/** Time between two fetches of the same data centre. */
const FETCH_INTERVAL_MS = 300;

/** Fetches the records of data centres from other instances. */
interface MemberFetch {
    /** Fetches the records of a data centre from the author of its summary. */
    readonly request: (summary: Pick<DataCentreSummary, "dataCentre" | "author">) => void;
    /** Fetches the records of the own data centre from an instance; nothing happens without an address. */
    readonly requestOwn: (address: string | undefined) => void;
    readonly stop: () => void;
}

/**
 * Creates the fetches of member records.
 *
 * @param rpc - client for RPC calls to other instances
 * @param membership - gets the records
 * @param onMerged - called after each fetch
 * @param log - receives failed fetches
 * @returns the fetches, none of which is running
 */
export const createMemberFetch = (
    rpc: Pick<RpcClient, "call">,
    membership: Pick<Membership, "merge" | "mergeDataCentre" | "own">,
    onMerged: () => void,
    log: Log,
): MemberFetch => {
    const nextAtMs = new Map<string, number>();
    let isStopped = false;
    const fetch = async (dataCentre: string, address: string, isFromThere: boolean): Promise<void> => {
        const startedAtMs = monotonicNow();
        if (isStopped || startedAtMs < (nextAtMs.get(dataCentre) ?? 0)) {
            return;
        }
        nextAtMs.set(dataCentre, startedAtMs + FETCH_INTERVAL_MS);
        const query: MemberQuery = { dataCentre };
        const res = await rpc.call<readonly MemberRecord[]>(address, "members.read", query);
        if (isStopped) {
            return;
        }
        if (!res.ok) {
            log("info", "members-fetch-failed", { dataCentre, address, error: res.error });
            return;
        }
        const records = res.value.filter(isMemberRecord);
        if (isFromThere) {
            membership.mergeDataCentre(dataCentre, records, monotonicNow());
        }
        else {
            membership.merge(records, monotonicNow());
        }
        onMerged();
    };
    return {
        request: ({ dataCentre, author }) => void fetch(dataCentre, author, true),
        requestOwn: address => {
            if (address !== undefined) {
                void fetch(membership.own().dataCentre, address, false);
            }
        },
        stop: () => {
            isStopped = true;
        },
    };
};
