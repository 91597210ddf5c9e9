import { findFreePorts } from "./findFreePorts.js";

/** An address without a port of its own yet. */
const OPEN_ADDRESS = /127\.0\.0\.1:0\b/g;

/**
 * Gives each `127.0.0.1:0` of a text a port that nobody uses.
 *
 * @param text - settings of any format
 * @returns the text with ports, and the ports in their order
 */
export const fillInPorts = async (
    text: string,
): Promise<{ readonly text: string; readonly ports: readonly number[]; }> => {
    const ports = await findFreePorts(text.match(OPEN_ADDRESS)?.length ?? 0);
    const left = [...ports];
    return { text: text.replace(OPEN_ADDRESS, () => `127.0.0.1:${left.shift() ?? 0}`), ports };
};
