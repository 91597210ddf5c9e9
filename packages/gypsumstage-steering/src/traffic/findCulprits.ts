import { ENDS_UNTIL_OPEN } from "./ENDS_UNTIL_OPEN.js";
import { listEndedRuns } from "./listEndedRuns.js";
import type { SuspectTable } from "./SuspectTable.js";

/** Ends from which on requests that can't be told apart are all held responsible. */
const MAX_AMBIGUOUS_ENDS = 6;

interface Candidate {
    readonly digest: string;
    readonly runs: readonly string[];
}

const countCandidatesByRun = (candidates: readonly Candidate[]): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const run of candidates.flatMap(({ runs }) => runs)) {
        counts.set(run, (counts.get(run) ?? 0) + 1);
    }
    return counts;
};

/**
 * Finds the requests that end endpoints. When an endpoint ends, all requests in flight there are suspect, and an innocent
 * one can be beside the same culprit several times. So the request with the most ends is held responsible for
 * them, and the others only for those that are left. Of requests with equally many common ends none is, until
 * another end tells them apart.
 *
 * @param table - the suspect requests
 * @returns digests of the culprits
 */
export const findCulprits = (table: SuspectTable): ReadonlySet<string> => {
    const culprits = new Set<string>();
    let candidates: readonly Candidate[] = [...table.values()].map(suspect => ({
        digest: suspect.digest,
        runs: listEndedRuns(suspect),
    }));
    for (;;) {
        candidates = candidates.filter(({ runs }) => runs.length >= ENDS_UNTIL_OPEN);
        const maxEnds = Math.max(0, ...candidates.map(({ runs }) => runs.length));
        const top = candidates.filter(({ runs }) => runs.length === maxEnds);
        const topByRun = countCandidatesByRun(top);
        const isClear = ({ runs }: Candidate): boolean =>
            maxEnds >= MAX_AMBIGUOUS_ENDS || runs.every(run => topByRun.get(run) === 1);
        const found = top.filter(isClear);
        if (top.length === 0) {
            return culprits;
        }
        found.forEach(({ digest }) => culprits.add(digest));
        const explained = new Set(found.flatMap(({ runs }) => runs));
        candidates = candidates
            .filter(({ runs }) => runs.length < maxEnds)
            .map(candidate => ({ ...candidate, runs: candidate.runs.filter(run => !explained.has(run)) }));
    }
};
