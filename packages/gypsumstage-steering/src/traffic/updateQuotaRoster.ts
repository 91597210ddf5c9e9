import type { QuotaRoster } from "./QuotaRoster.js";

/** Longer than the record of an instance takes to reach all others, and their next votes to reach the issuer. */
const ABSTENTION_MS = 4_000;
/** At the start: until the instances that start at the same time have found each other. */
const START_ABSTENTION_MS = 2_000;
/** Silence after which a few instances are no longer counted; longer than it takes them to notice that they are alone. */
const FORGET_AFTER_MS = 30_000;
/** A part of the fleet up to this size uses no share when it is cut off, so the others need not keep it. */
const SMALL_PART = 0.15;
/** Time between two updates from which the others may have stopped counting a paused process. */
const PAUSE_MS = 10_000;

const isSmall = (count: number, known: number): boolean => count <= SMALL_PART * known;

/**
 * Updates the instances among which caps are divided. A silent one is counted on, as it may use its part on the other side
 * of a cut, except when so few are silent that they use none by the same rule. An instance that is new, was paused or
 * is cut off with few others uses no part until the others count it again.
 *
 * @param roster - the roster so far; undefined at the start of the process
 * @param live - names of the live instances, this one included
 * @param recorded - names of all instances of which there is a record
 * @param nowMs - current time of the lease clock
 * @returns the next roster
 */
export const updateQuotaRoster = (
    roster: QuotaRoster | undefined,
    live: readonly string[],
    recorded: readonly string[],
    nowMs: number,
): QuotaRoster => {
    const isLive = new Set(live);
    const isRecorded = new Set(recorded);
    const forgotten = new Set(
        [...roster?.forgotten ?? []].filter(name => isRecorded.has(name) && !isLive.has(name)),
    );
    const liveAtMs = new Map(roster?.liveAtMs);
    const isNew = (name: string): boolean => !liveAtMs.has(name) && !forgotten.has(name);
    [...recorded.filter(isNew), ...live].forEach(name => liveAtMs.set(name, nowMs));
    const known = liveAtMs.size;
    const silent = [...liveAtMs.keys()].filter(name => !isLive.has(name));
    if (isSmall(silent.length + forgotten.size, known + forgotten.size)) {
        const isOver = (name: string): boolean => nowMs - (liveAtMs.get(name) ?? nowMs) > FORGET_AFTER_MS;
        silent.filter(isOver).forEach(name => {
            liveAtMs.delete(name);
            forgotten.add(name);
        });
    }
    const isInSmallPart = isSmall(live.length, known);
    const base = { liveAtMs, forgotten, updatedAtMs: nowMs };
    if (roster === undefined) {
        return { ...base, abstainsUntilMs: nowMs + START_ABSTENTION_MS, isNew: true };
    }
    if (isInSmallPart || nowMs - roster.updatedAtMs > PAUSE_MS) {
        return { ...base, abstainsUntilMs: nowMs + ABSTENTION_MS, isNew: roster.isNew };
    }
    // During a split, the other side can't count a new instance.
    const isUncounted = known > roster.liveAtMs.size || !isSmall(silent.length, known);
    return roster.isNew && isUncounted
        ? {
            ...base,
            abstainsUntilMs: Math.max(roster.abstainsUntilMs, nowMs + START_ABSTENTION_MS),
            isNew: true,
        }
        : { ...base, abstainsUntilMs: roster.abstainsUntilMs, isNew: nowMs < roster.abstainsUntilMs };
};
