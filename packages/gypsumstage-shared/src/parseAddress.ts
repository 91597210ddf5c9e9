import { isIPv4, isIPv6 } from "node:net";
import type { Address } from "./Address.js";

const MAX_PORT = 65_535;

/** A zone of an IPv6 address (`%1`) has a meaning on its own machine only. */
const isUsableIPv6 = (host: string): boolean => isIPv6(host) && !host.includes("%");

/**
 * Parses an address written `IP:port` or `[IPv6]:port`.
 *
 * @param text - the text to parse; host names are not accepted
 * @returns the address, or undefined if the text is not one to which a connection can be opened
 */
export const parseAddress = (text: string): Address | undefined => {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    const [, bracketed, plain, portText] = match ?? [];
    const port = Number(portText);
    const isUsable = bracketed === undefined ? isIPv4(plain ?? "") : isUsableIPv6(bracketed);
    const host = bracketed ?? plain;
    if (host === undefined || !isUsable || port < 1 || port > MAX_PORT) {
        return undefined;
    }
    return { host, port };
};
