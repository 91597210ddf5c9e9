import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { chooseAtRandom } from "@gypsumstage/steering/traffic/chooseAtRandom";
import type { Membership } from "./Membership.js";
import type { OwnReport } from "./OwnReport.js";
import type { PeerRegistry } from "./PeerRegistry.js";
import type { PeerSocket } from "./PeerSocket.js";
import { registerSummaries } from "./registerSummaries.js";
import { sumDemand } from "./sumDemand.js";
import { SUMMARIES_METHOD } from "./SUMMARIES_METHOD.js";

/**
 * Sends the summary of this data centre to some instance of another one at intervals.
 *
 * @param createReport - creates this instance's report
 * @param membership - the records of all instances
 * @param registry - the reports of the others
 * @param socket - sends the summaries
 * @returns the function that stops it
 */
export const registerSummarySending = (
    createReport: (peers: readonly string[]) => OwnReport,
    membership: Membership,
    registry: Pick<PeerRegistry, "reporting">,
    socket: Pick<PeerSocket, "send">,
): () => void =>
    registerSummaries(() => {
        const { dataCentre } = membership.own();
        const others = membership.records().filter(record =>
            record.dataCentre !== dataCentre && !record.isGone
        );
        const targets = chooseAtRandom(others, 1, Math.random).map(record => record.internalAddress);
        const local = registry.reporting().map(peer => peer.report).filter(report =>
            report.dataCentre === dataCentre
        );
        const demand = sumDemand([createReport([]), ...local]);
        socket.send(SUMMARIES_METHOD, membership.createSummaries(demand, monotonicNow()), targets);
    });
