import { type AddressInfo, createServer } from "node:net";

/**
 * Finds free TCP ports on 127.0.0.1. The ports aren't reserved: another process may bind one before the caller does.
 *
 * @param count - number of ports
 * @returns distinct ports
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
