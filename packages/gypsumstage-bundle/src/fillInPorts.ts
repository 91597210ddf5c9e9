import { findFreePorts } from "./findFreePorts.js";

/** A loopback address with port 0, which stands for a port still to be chosen. */
const PORT_ZERO_ADDRESS = /127\.0\.0\.1:0\b/g;

/**
 * Replaces the port of each `127.0.0.1:0` in a text with a free port.
 *
 * @param text - settings, in any format
 * @returns the text with the ports filled in, and the ports in order of appearance
 */
export const fillInPorts = async (
    text: string,
): Promise<{ readonly text: string; readonly ports: readonly number[]; }> => {
    const ports = await findFreePorts(text.match(PORT_ZERO_ADDRESS)?.length ?? 0);
    const remainingPorts = [...ports];
    return { text: text.replace(PORT_ZERO_ADDRESS, () => `127.0.0.1:${remainingPorts.shift() ?? 0}`), ports };
};
