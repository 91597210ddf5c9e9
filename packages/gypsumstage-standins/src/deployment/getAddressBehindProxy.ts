const BEHIND_PROXY_PORT_OFFSET = 1_000;

/**
 * Names the address that a role listens on behind the proxy.
 *
 * @param address - the address that others use
 * @returns the address behind it
 */
export const getAddressBehindProxy = (address: string): string => {
    const [host = "", port = ""] = address.split(":");
    return `${host}:${Number(port) + BEHIND_PROXY_PORT_OFFSET}`;
};
