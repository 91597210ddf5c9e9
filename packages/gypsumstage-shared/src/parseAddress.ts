import { isIP } from "node:net";
import type { Address } from "./Address.js";

const MAX_PORT = 65_535;

/**
 * Parses an address written `IP:port` or `[IPv6]:port`.
 *
 * @param text - the text to parse; host names are not accepted
 * @returns the address, or undefined if the text is not a valid one
 */
export const parseAddress = (text: string): Address | undefined => {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    const host = match?.[1] ?? match?.[2];
    const port = Number(match?.[3]);
    if (host === undefined || isIP(host) === 0 || port < 1 || port > MAX_PORT) {
        return undefined;
    }
    return { host, port };
};
