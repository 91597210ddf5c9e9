const BITS_PER_BYTE = 8;
const BYTES_PER_SECOND_BY_UNIT: Readonly<Record<string, number>> = {
    "kB/s": 1_000,
    "MB/s": 1_000_000,
    "Mbit/s": 1_000_000 / BITS_PER_BYTE,
    "Gbit/s": 1_000_000_000 / BITS_PER_BYTE,
};

/**
 * Parses a rate such as `280Mbit/s` or `35MB/s`.
 *
 * @param text - a number followed by `kB/s`, `MB/s`, `Mbit/s` or `Gbit/s`
 * @returns the rate in bytes per second, or undefined if the text is not a rate
 */
export const parseRate = (text: string): number | undefined => {
    const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+\/s)$/.exec(text.trim());
    const unitBytesPerSecond = BYTES_PER_SECOND_BY_UNIT[match?.[2] ?? ""];
    return unitBytesPerSecond === undefined ? undefined : Number(match?.[1]) * unitBytesPerSecond;
};
