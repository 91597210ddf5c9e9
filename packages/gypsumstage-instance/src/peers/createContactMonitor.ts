import type { ContactMonitor } from "./ContactMonitor.js";

/** Share of its contacts that an instance has to hear; one that hears fewer takes itself for cut off, not the others for gone. */
const MIN_HEARD_SHARE = 0.25;
/** Time between two calls of `takeSilent` from which this process was paused, and so has missed reports. */
const PAUSE_MS = 500;
/** Silence after which an instance is gone, although most others are silent too. */
const LONG_SILENCE_MS = 10_000;

/**
 * Creates the monitor of the instances that report to this one.
 *
 * @param getTimeoutMs - returns the time without a report after which an instance is gone
 * @returns the monitor, without instances
 */
export const createContactMonitor = (getTimeoutMs: () => number): ContactMonitor => {
    const heardAtMs = new Map<string, number>();
    const monitored = new Set<string>();
    let countedFromMs = -Infinity;
    let resumedAtMs = -Infinity;
    let lastCallAtMs: number | undefined;
    const silenceMs = (name: string, nowMs: number): number =>
        nowMs - Math.max(heardAtMs.get(name) ?? -Infinity, countedFromMs);
    const isHeard = (name: string, nowMs: number): boolean =>
        nowMs - (heardAtMs.get(name) ?? -Infinity) <= getTimeoutMs();
    /** Starts to count anew while this instance can't tell others that are gone from a fault of its own. */
    const restartIfUncertain = (nowMs: number): void => {
        const names = [...monitored];
        const heard = names.filter(name => isHeard(name, nowMs)).length;
        const wasPaused = lastCallAtMs !== undefined && nowMs - lastCallAtMs > PAUSE_MS;
        if (wasPaused) {
            resumedAtMs = nowMs;
        }
        if (wasPaused || heard < MIN_HEARD_SHARE * names.length) {
            countedFromMs = nowMs;
        }
        lastCallAtMs = nowMs;
    };
    return {
        hear: (name, isContact, nowMs) => {
            heardAtMs.set(name, nowMs);
            if (isContact) {
                monitored.add(name);
            }
            else {
                monitored.delete(name);
            }
        },
        isHeard,
        resumedAtMs: () => resumedAtMs,
        listDoubtful: nowMs => [...monitored].filter(name => silenceMs(name, nowMs) > getTimeoutMs() / 2),
        takeSilent: nowMs => {
            restartIfUncertain(nowMs);
            const isAnyHeard = [...monitored].some(name => isHeard(name, nowMs));
            const silent = [...monitored].filter(name =>
                silenceMs(name, nowMs) > getTimeoutMs()
                || (isAnyHeard && nowMs - (heardAtMs.get(name) ?? 0) > LONG_SILENCE_MS)
            );
            silent.forEach(name => monitored.delete(name));
            return silent;
        },
    };
};
