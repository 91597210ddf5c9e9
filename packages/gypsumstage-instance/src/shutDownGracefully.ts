import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import type { Server } from "node:http";
import type { InstancePhase } from "./InstancePhase.js";

/** Time after the stop signal for which new requests are still served; at most half the grace period. */
const LEAVING_PHASE_MS = 3_000;
/** Time before the end of the grace period at which waiting for requests in flight stops. */
const EXIT_MARGIN_MS = 250;
const IN_FLIGHT_CHECK_INTERVAL_MS = 50;

/**
 * Stops accepting requests without interrupting those in flight. Lookups leave the instance out immediately; callers
 * that still use an earlier lookup response are served for a while and then refused.
 *
 * @param server - the server for callers' requests
 * @param gracePeriodMs - time until the process is killed, in milliseconds
 * @param setPhase - called with each new phase
 * @param inFlight - returns how many requests are in flight
 * @returns how many requests were still in flight at the end; 0 when all were completed
 */
export const shutDownGracefully = async (
    server: Server,
    gracePeriodMs: number,
    setPhase: (phase: InstancePhase) => void,
    inFlight: () => number,
): Promise<number> => {
    const exitAtMs = monotonicNow() + gracePeriodMs - EXIT_MARGIN_MS;
    setPhase("leaving");
    await sleep(Math.min(LEAVING_PHASE_MS, gracePeriodMs / 2));
    setPhase("refusing");
    server.close();
    server.closeIdleConnections();
    while (inFlight() > 0 && monotonicNow() < exitAtMs) {
        await sleep(IN_FLIGHT_CHECK_INTERVAL_MS);
    }
    return inFlight();
};
