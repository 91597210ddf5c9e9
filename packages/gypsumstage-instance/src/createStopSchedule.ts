import type { StopSchedule } from "./StopSchedule.js";

/**
 * Creates the schedule of an instance that has not begun to stop.
 *
 * @returns the schedule
 */
export const createStopSchedule = (): StopSchedule => {
    const listeners = new Set<() => void>();
    let answerAtMs: number | undefined;
    let isEnded = false;
    return {
        begin: atMs => {
            answerAtMs = atMs;
        },
        answerAtMs: () => answerAtMs,
        end: () => {
            isEnded = true;
            listeners.forEach(listener => listener());
        },
        registerEndListener: listener => {
            listeners.add(listener);
            if (isEnded) {
                listener();
            }
            return () => {
                listeners.delete(listener);
            };
        },
    };
};
