import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import { isMemberRecord } from "./isMemberRecord.js";
import type { MemberFetch } from "./MemberFetch.js";
import type { MemberQuery } from "./MemberQuery.js";
import type { Membership } from "./Membership.js";

/** Time between two fetches of the same data centre. */
const FETCH_INTERVAL_MS = 300;

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
    const isDue = (dataCentre: string): boolean =>
        !isStopped && monotonicNow() >= (nextAtMs.get(dataCentre) ?? 0);
    const fetch = async (dataCentre: string, address: string, isFromThere: boolean): Promise<void> => {
        nextAtMs.set(dataCentre, monotonicNow() + FETCH_INTERVAL_MS);
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
        request: ({ dataCentre, author }) => {
            if (isDue(dataCentre)) {
                void fetch(dataCentre, author, true);
            }
        },
        requestOwn: address => {
            const { dataCentre } = membership.own();
            const isStarting = isDue(dataCentre);
            if (isStarting) {
                void fetch(dataCentre, address, false);
            }
            return isStarting;
        },
        stop: () => {
            isStopped = true;
        },
    };
};
