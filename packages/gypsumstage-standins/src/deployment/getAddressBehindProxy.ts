const BEHIND_PROXY_PORT_OFFSET = 1_000;

/**
 * Returns the address that a role listens on behind the proxy.
 *
 * @param address - the address that clients connect to, `IP:port`
 * @returns the same IP address with another port
 */
export const getAddressBehindProxy = (address: string): string => {
    const [host = "", port = ""] = address.split(":");
    return `${host}:${Number(port) + BEHIND_PROXY_PORT_OFFSET}`;
};
