import { type AddressInfo, createServer } from "node:net";

/**
 * Finds ports of the loopback address that nobody uses.
 *
 * @param count - how many
 * @returns the ports
 */
export const findFreePorts = async (count: number): Promise<readonly number[]> => {
    const servers = Array.from({ length: count }, () => createServer());
    const ports = await Promise.all(servers.map(server =>
        new Promise<number>(resolve => {
            server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
        })
    ));
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};
