const MS_PER_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000, min: 60_000 };

/**
 * Parses a duration such as `150ms`, `2s` or `5min`.
 *
 * @param text - a number followed by `ms`, `s` or `min`
 * @returns the duration in milliseconds, or undefined if the text is not a duration
 */
export const parseDuration = (text: string): number | undefined => {
    const match = /^(\d+(?:\.\d+)?)(ms|s|min)$/.exec(text.trim());
    const unitMs = MS_PER_UNIT[match?.[2] ?? ""];
    return unitMs === undefined ? undefined : Number(match?.[1]) * unitMs;
};
