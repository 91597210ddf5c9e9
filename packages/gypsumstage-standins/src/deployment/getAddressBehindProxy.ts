const BACK_PORT_OFFSET = 1_000;

/**
 * Returns the address that a role listens on behind the proxy.
 *
 * @param address - the address that others use
 * @returns the same IP address with another port
 */
export const getAddressBehindProxy = (address: string): string => {
    const [host = "", port = ""] = address.split(":");
    return `${host}:${Number(port) + BACK_PORT_OFFSET}`;
};
