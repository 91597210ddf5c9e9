import type { LoadFigure } from "./LoadFigure.js";
import type { LoadSummary } from "./LoadSummary.js";

/**
 * Summarizes the newest loads of a service's endpoints, for operators.
 *
 * @param figures - the figures; at least one
 * @param nowMs - current monotonic time
 * @returns the summary
 */
export const summarizeLoads = (figures: readonly LoadFigure[], nowMs: number): LoadSummary => {
    const perSlot = figures.map(({ load }) => (load.running + load.waiting) / load.slots);
    const mean = (values: readonly number[]): number =>
        values.reduce((sum, value) => sum + value, 0) / values.length;
    return {
        endpoints: figures.length,
        meanPerSlot: mean(perSlot),
        maxPerSlot: Math.max(...perSlot),
        overloadedShare: mean(perSlot.map(value => value > 1 ? 1 : 0)),
        meanAgeMs: mean(figures.map(figure => nowMs - figure.statedAtMs)),
    };
};
