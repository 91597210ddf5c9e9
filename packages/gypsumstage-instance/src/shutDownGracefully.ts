import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import type { Server } from "node:http";
import type { InstancePhase } from "./InstancePhase.js";
import type { StopSchedule } from "./StopSchedule.js";

/** Time after the stop signal for which new requests are still taken, if they end in time; at most half the grace period. */
const LEAVING_PHASE_MS = 3_000;
/** Time before the end of the grace period at which requests in flight are answered as they stand. */
const ANSWER_MARGIN_MS = 400;
/** Time before the end of the grace period at which waiting for these answers ends. */
const EXIT_MARGIN_MS = 150;
const IN_FLIGHT_CHECK_INTERVAL_MS = 50;

const waitUntilIdle = async (inFlight: () => number, untilMs: number): Promise<void> => {
    while (inFlight() > 0 && monotonicNow() < untilMs) {
        await sleep(IN_FLIGHT_CHECK_INTERVAL_MS);
    }
};

/**
 * Stops accepting requests without interrupting those in flight. Lookups leave the instance out immediately; callers
 * that still use an earlier lookup response are served for a while, if their requests end in time, and then refused. Requests that are
 * in flight until the end get an answer that says what is known of them.
 *
 * @param server - the server for callers' requests
 * @param gracePeriodMs - time until the process is killed, in milliseconds
 * @param setPhase - called with each new phase
 * @param schedule - is told when requests have to end, and lets those in flight be answered
 * @param inFlight - returns how many requests are in flight
 * @returns how many requests were in flight when they were answered as they stood, and how many at the end, which were cut
 */
export const shutDownGracefully = async (
    server: Server,
    gracePeriodMs: number,
    setPhase: (phase: InstancePhase) => void,
    schedule: Pick<StopSchedule, "begin" | "end">,
    inFlight: () => number,
): Promise<{ readonly answeredEarly: number; readonly cut: number; }> => {
    const killAtMs = monotonicNow() + gracePeriodMs;
    const answerAtMs = killAtMs - ANSWER_MARGIN_MS;
    schedule.begin(answerAtMs);
    setPhase("leaving");
    await sleep(Math.min(LEAVING_PHASE_MS, gracePeriodMs / 2));
    setPhase("refusing");
    server.close();
    server.closeIdleConnections();
    await waitUntilIdle(inFlight, answerAtMs);
    const answeredEarly = inFlight();
    schedule.end();
    await waitUntilIdle(inFlight, killAtMs - EXIT_MARGIN_MS);
    return { answeredEarly, cut: inFlight() };
};
