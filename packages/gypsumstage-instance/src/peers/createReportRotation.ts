import { chooseReportTargets } from "@gypsumstage/steering/traffic/chooseReportTargets";
import type { ReportRotation } from "./ReportRotation.js";

/** Peer addresses in a report; the next batch has the next ones. */
const MAX_ADDRESSES_PER_REPORT = 16;

/**
 * Creates the rotation by which peers get reports a few at a time, each of them once a round.
 *
 * @param batchIntervalMs - time between two batches, in milliseconds
 * @param getRoundMs - returns the time of a round, in milliseconds, for a number of peers
 * @returns the rotation, at its start
 */
export const createReportRotation = (
    batchIntervalMs: number,
    getRoundMs: (peers: number) => number,
): ReportRotation => {
    let lastTarget: string | undefined;
    let lastListed: string | undefined;
    return {
        nextTargets: addresses => {
            const count = Math.ceil(addresses.length * batchIntervalMs / getRoundMs(addresses.length));
            const targets = chooseReportTargets(addresses, lastTarget, count);
            lastTarget = targets.at(-1);
            return targets;
        },
        nextListed: addresses => {
            const listed = chooseReportTargets(addresses, lastListed, MAX_ADDRESSES_PER_REPORT);
            lastListed = listed.at(-1);
            return listed;
        },
    };
};
