const BITS_PER_BYTE = 8;
const UNITS_BYTES: Readonly<Record<string, number>> = {
    "kB/s": 1_000,
    "MB/s": 1_000_000,
    "Mbit/s": 1_000_000 / BITS_PER_BYTE,
    "Gbit/s": 1_000_000_000 / BITS_PER_BYTE,
};

/**
 * Reads a rate such as `280Mbit/s` or `35MB/s`.
 *
 * @param text - the written form
 * @returns bytes a second, or undefined when the text is no rate
 */
export const parseRate = (text: string): number | undefined => {
    const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+\/s)$/.exec(text.trim());
    const unit = UNITS_BYTES[match?.[2] ?? ""];
    return unit === undefined ? undefined : Number(match?.[1]) * unit;
};
