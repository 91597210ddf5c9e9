/** Shortest time between two reports to a contact. */
const MIN_REPORT_INTERVAL_MS = 100;
/** Longest time between two reports to a contact, unless there are very many. */
const MAX_REPORT_INTERVAL_MS = 300;
/** Time between two reports per instance of the fleet, and at least per contact, which bounds the load of sending. */
const REPORT_INTERVAL_PER_PEER_MS = 12;

/**
 * Computes the time between two reports to the same contact.
 *
 * @param contacts - number of instances that get the reports
 * @param peers - number of other instances
 * @returns the interval, in milliseconds
 */
export const computeReportIntervalMs = (contacts: number, peers: number): number =>
    Math.max(
        MIN_REPORT_INTERVAL_MS,
        REPORT_INTERVAL_PER_PEER_MS * (contacts + 1),
        Math.min(MAX_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_PEER_MS * (peers + 1)),
    );
