import { isIP } from "node:net";
import type { Address } from "./Address.js";

const MAX_PORT = 65_535;

/**
 * Reads an address written `IP:port` or `[IPv6]:port`.
 *
 * @param text - the written form
 * @returns the address, or undefined when the text is not one
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
