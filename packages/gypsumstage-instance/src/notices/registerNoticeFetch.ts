import type { Log } from "@gypsumstage/shared/Log";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import { chooseAtRandom } from "@gypsumstage/steering/traffic/chooseAtRandom";
import type { PeerExchange } from "../peers/PeerExchange.js";
import type { Notice } from "./Notice.js";

/** Pause between two checks whether this instance is cut off, and between two attempts to fetch all notices. */
const CHECK_INTERVAL_MS = 200;
const FETCH_INTERVAL_MS = 50;
/** Share of the known instances that are live below which an instance counts as cut off. */
const MIN_LIVE_SHARE = 0.5;

/**
 * Fetches all notices from another instance when this one has started, and after it was cut off from many others.
 *
 * @param peers - the other instances
 * @param canMerge - returns whether this instance knows what the notices are about
 * @param rpc - client for RPC calls to other instances
 * @param onFetched - called with the notices
 * @param log - receives fetches and failures
 * @returns the function that stops the checks
 */
export const registerNoticeFetch = (
    peers: Pick<PeerExchange, "live" | "all">,
    canMerge: () => boolean,
    rpc: Pick<RpcClient, "call">,
    onFetched: (notices: readonly Notice[]) => void,
    log: Log,
): () => void => {
    let isFetchDue = true;
    const fetchAll = async (): Promise<void> => {
        const [peer] = chooseAtRandom(peers.live(), 1, Math.random);
        if (peer === undefined) {
            return;
        }
        const { name, internalAddress } = peer.report;
        const res = await rpc.call<readonly Notice[]>(internalAddress, "notices.read", {});
        if (!res.ok) {
            log("warn", "notices-fetch-failed", { peer: name, error: res.error });
            return;
        }
        isFetchDue = false;
        onFetched(res.value);
        log("info", "notices-fetched", { peer: name, notices: res.value.length });
    };
    const check = async (): Promise<void> => {
        const live = peers.live().length;
        if (live === 0 || live < MIN_LIVE_SHARE * peers.all().length) {
            isFetchDue = true;
        }
        else if (isFetchDue && canMerge()) {
            await fetchAll();
        }
    };
    return startPeriodicTask(check, () => isFetchDue ? FETCH_INTERVAL_MS : CHECK_INTERVAL_MS, err => {
        log("error", "notices-fetch-failed", { reason: String(err) });
    });
};
