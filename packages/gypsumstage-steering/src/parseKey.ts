import type { HomeKey } from "./HomeKey.js";

const HOME_KEY = /^([a-z0-9][a-z0-9-]*)\.([A-Za-z0-9_-]+)\.(\d{10,14})\.([A-Za-z0-9_-]{8,64})$/;

/**
 * Reads an idempotency key of the form `INSTANCE.INCARNATION.TIME.RANDOM`.
 *
 * @param key - the header's value
 * @returns the home and time, or undefined when the caller made the key without a home
 */
export const parseKey = (key: string): HomeKey | undefined => {
    const match = HOME_KEY.exec(key);
    if (!match) {
        return undefined;
    }
    return { instance: match[1] ?? "", incarnation: match[2] ?? "", madeAtMs: Number(match[3]) };
};
