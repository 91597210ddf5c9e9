import type { HomeKey } from "./HomeKey.js";

const HOME_KEY_PATTERN = /^([a-z0-9][a-z0-9-]*)\.([A-Za-z0-9_-]+)\.(\d{10,14})\.([A-Za-z0-9_-]{8,64})$/;

/**
 * Parses an idempotency key of the form `INSTANCE.INCARNATION.TIME.RANDOM`.
 *
 * @param key - value of the idempotency key header
 * @returns the home and the time, or undefined when the key has another form and so names no home
 */
export const parseHomeKey = (key: string): HomeKey | undefined => {
    const match = HOME_KEY_PATTERN.exec(key);
    if (!match) {
        return undefined;
    }
    return { instance: match[1] ?? "", incarnation: match[2] ?? "", madeAtMs: Number(match[3]) };
};
