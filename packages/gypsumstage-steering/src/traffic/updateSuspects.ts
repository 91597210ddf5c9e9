import { findOpenUntil } from "./findOpenUntil.js";
import { listEndedRuns } from "./listEndedRuns.js";
import type { SuspectEvent } from "./SuspectEvent.js";
import type { SuspectRequest } from "./SuspectRequest.js";
import type { SuspectTable } from "./SuspectTable.js";

/** Runs that are kept of a request; the latest ones. */
const MAX_RUNS = 8;
/** Suspect requests that are kept; those with the fewest ends are evicted first. */
const MAX_SUSPECTS = 1_000;
/** Time for which a request is remembered after it may be sent again. */
const RETENTION_MS = 300_000;

const maxDefined = (left: number | undefined, right: number | undefined): number | undefined =>
    left === undefined || right === undefined ? left ?? right : Math.max(left, right);

const keepLatestRuns = (endedAtMs: ReadonlyMap<string, number>): ReadonlyMap<string, number> =>
    new Map([...endedAtMs].sort(([, left], [, right]) => right - left).slice(0, MAX_RUNS));

const hasSameRuns = (left: SuspectRequest, right: SuspectRequest): boolean =>
    left.endedAtMs.size === right.endedAtMs.size
    && [...left.endedAtMs.keys()].every(run => right.endedAtMs.has(run))
    && listEndedRuns(left).length === listEndedRuns(right).length;

const evictOne = (table: SuspectTable): SuspectTable => {
    const entries = [...table.values()].map(suspect => ({
        digest: suspect.digest,
        ends: listEndedRuns(suspect).length,
        openUntilMs: findOpenUntil(suspect),
    }));
    const victim = entries.reduce((left, right) =>
        right.ends < left.ends || (right.ends === left.ends && right.openUntilMs < left.openUntilMs)
            ? right
            : left
    );
    const next = new Map(table);
    next.delete(victim.digest);
    return next;
};

const merge = (table: SuspectTable, suspect: SuspectRequest): SuspectTable => {
    const known = table.get(suspect.digest);
    const merged: SuspectRequest = {
        ...suspect,
        endedAtMs: keepLatestRuns(new Map([...suspect.endedAtMs, ...known?.endedAtMs ?? []])),
        answeredAtMs: maxDefined(known?.answeredAtMs, suspect.answeredAtMs),
    };
    if (known !== undefined && hasSameRuns(known, merged)) {
        return table;
    }
    const next = new Map([...table, [suspect.digest, merged]]);
    return next.size > MAX_SUSPECTS ? evictOne(next) : next;
};

/**
 * Applies what becomes known of suspect requests. A success clears the ends before it. The table is the same whatever the
 * order in which instances learn of it, and its size is bounded.
 *
 * @param table - the table so far
 * @param event - the event
 * @returns the next table; the same object when nothing counts that did not count before
 */
export const updateSuspects = (table: SuspectTable, event: SuspectEvent): SuspectTable => {
    switch (event.kind) {
        case "ended":
            return merge(table, event.suspect);
        case "answered": {
            const known = table.get(event.digest);
            return known === undefined ? table : merge(table, { ...known, answeredAtMs: event.atMs });
        }
        case "expired": {
            const current = [...table].filter(([, suspect]) =>
                event.nowMs < findOpenUntil(suspect) + RETENTION_MS
            );
            return current.length === table.size ? table : new Map(current);
        }
    }
};
