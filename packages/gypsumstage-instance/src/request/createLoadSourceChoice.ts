import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { choosesByStatedLoad } from "@gypsumstage/steering/traffic/choosesByStatedLoad";
import type { PeerExchange } from "../peers/PeerExchange.js";
import type { EndpointLoads } from "../upstream/EndpointLoads.js";
import type { LoadSourceChoice } from "./LoadSourceChoice.js";

/** Time between two looks at the reports, the shortest time between two reports of an instance. */
const UPDATE_INTERVAL_MS = 100;

/**
 * Creates the function that returns whether requests are placed by the load that endpoints state. It also takes up the
 * loads that other instances reported, and has this one's reported while they are used.
 *
 * @param peers - the other instances and their reports
 * @param loads - the loads that endpoints stated; those in the reports are added
 * @returns the function, which looks at the reports when called, at most once per `UPDATE_INTERVAL_MS`
 */
export const createLoadSourceChoice = (
    peers: Pick<PeerExchange, "live" | "reporting">,
    loads: EndpointLoads,
): LoadSourceChoice => {
    let isInUse = false;
    let updatedAtMs = -Infinity;
    return () => {
        const nowMs = monotonicNow();
        if (nowMs - updatedAtMs >= UPDATE_INTERVAL_MS) {
            updatedAtMs = nowMs;
            const reporting = peers.reporting();
            reporting.forEach(peer => loads.applyReport(peer.report, peer.receivedAtMs));
            isInUse = choosesByStatedLoad({
                liveInstances: peers.live().length + 1,
                reportedInstances: reporting.length + 1,
                statedEndpoints: loads.size(),
            }, isInUse);
            loads.setReported(isInUse);
        }
        return isInUse;
    };
};
