const MASKS: readonly (readonly [RegExp, string])[] = [
    [/-1\.[A-Za-z0-9_-]{12}(?=["\s.])/g, "-1.INCARNATION"],
    [/INCARNATION\.\d{13}\.[0-9a-z]+/g, "INCARNATION.TIME.RANDOM"],
    [/\d+\.\ds ago/g, "T ago"],
    [/00-[0-9a-f]{32}-[0-9a-f]{16}-0[01]/g, "00-TRACE-SPAN-FLAGS"],
    [/(berth-desk|booking-ledger|document-intake)-\d+/g, "$1-N"],
    [/"heardAgoMs":\d+/g, "\"heardAgoMs\":T"],
];

/**
 * Replaces values that differ between runs by fixed placeholders.
 *
 * @param text - a transcript
 * @returns the transcript as it is stored in a golden file
 */
export const maskVariables = (text: string): string =>
    MASKS.reduce((masked, [pattern, replacement]) => masked.replaceAll(pattern, replacement), text);
