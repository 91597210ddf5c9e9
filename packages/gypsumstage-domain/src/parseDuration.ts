const UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, min: 60_000 };

/**
 * Reads a duration such as `150ms`, `2s` or `5min`.
 *
 * @param text - the written form
 * @returns milliseconds, or undefined when the text is no duration
 */
export const parseDuration = (text: string): number | undefined => {
    const match = /^(\d+(?:\.\d+)?)(ms|s|min)$/.exec(text.trim());
    const unit = UNITS_MS[match?.[2] ?? ""];
    return unit === undefined ? undefined : Number(match?.[1]) * unit;
};
