/**
 * Chooses the instances that get the next reports: the ones that follow the last one in the order of addresses, and from
 * the start again after the end. Sending to a few at a time keeps reports from filling the queue of a narrow link.
 *
 * @param addresses - internal addresses of all instances that get reports, without duplicates
 * @param lastAddress - the address that got the last report; undefined before the first one
 * @param count - how many to choose
 * @returns the chosen addresses, at most one of each
 */
export const chooseReportTargets = (
    addresses: readonly string[],
    lastAddress: string | undefined,
    count: number,
): readonly string[] => {
    const ordered = [...addresses].sort();
    const next = ordered.findIndex(address => lastAddress === undefined || address > lastAddress);
    const start = Math.max(next, 0);
    return [...ordered.slice(start), ...ordered.slice(0, start)].slice(0, count);
};
