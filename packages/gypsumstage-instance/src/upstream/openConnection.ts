import type { Address } from "@gypsumstage/shared/Address";
import { registerAbnormalCloseListener } from "@gypsumstage/shared/registerAbnormalCloseListener";
import { isIPv6, type Socket } from "node:net";
import { Client } from "undici";
import type { UpstreamConnection } from "./UpstreamConnection.js";
import type { UpstreamConnector } from "./UpstreamConnector.js";

/** Shorter than the endpoints' keep-alive timeout, so that no request is sent on a connection being closed. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Endpoints announce their keep-alive timeout in whole seconds; connections are closed this much earlier. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/**
 * Creates a connection to an endpoint; it is opened when the first request is sent. The client library (undici)
 * treats a response without a length as complete even when the connection was reset in the middle of it, so
 * socket errors are recorded here before the library handles them.
 *
 * @param address - address of the endpoint
 * @param connector - opens the connection
 * @returns the connection
 */
export const openConnection = (address: Address, connector: UpstreamConnector): UpstreamConnection => {
    let isBroken = false;
    let isFirst = true;
    let socket: Socket | undefined;
    let onReceive = (): void => undefined;
    const { host, port } = address;
    const client = new Client(`http://${isIPv6(host) ? `[${host}]` : host}:${port}`, {
        connect: (options, callback) =>
            connector({ ...options, hostname: host, port: String(port) }, (...result) => {
                if (result[1]) {
                    socket = result[1];
                    socket.on("readable", () => onReceive());
                    registerAbnormalCloseListener(socket, () => {
                        isBroken = true;
                    });
                }
                callback(...result);
            }),
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
        pipelining: 1,
    });
    return {
        client,
        takeIsFirst: () => {
            const wasFirst = isFirst;
            isFirst = false;
            return wasFirst;
        },
        isOpen: () => socket?.destroyed === false,
        isBroken: () => isBroken,
        receivedBytes: () => socket?.bytesRead ?? 0,
        setReceiveListener: next => {
            onReceive = next;
        },
    };
};
