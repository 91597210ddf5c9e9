import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { sleep } from "@gypsumstage/shared/sleep";
import { waitForNextPoll } from "@gypsumstage/shared/waitForNextPoll";
import type { UpstreamConnector } from "../upstream/UpstreamConnector.js";

/**
 * Opens a connection to an endpoint and closes it, to see whether that is possible.
 *
 * @param connector - opens the connection
 * @param address - `IP:port` of the endpoint
 * @param timeoutMs - longest wait, in milliseconds
 * @returns true when the connection was opened in time
 */
export const openProbe = async (
    connector: UpstreamConnector,
    address: string,
    timeoutMs: number,
): Promise<boolean> => {
    const target = parseAddress(address);
    if (target === undefined) {
        return false;
    }
    let isOpened: boolean | undefined;
    const finished = new Promise<void>(resolve => {
        connector(
            { hostname: target.host, host: address, protocol: "http:", port: String(target.port) },
            (err, socket) => {
                isOpened = err === null; // eslint-disable-line no-restricted-syntax -- undici's "no error"
                socket?.destroy();
                resolve();
            },
        );
    });
    await Promise.race([finished, sleep(timeoutMs)]);
    if (isOpened === undefined) {
        // After a delay of the event loop, the connection may be open behind the timer that has fired.
        await waitForNextPoll();
    }
    return isOpened ?? false;
};
