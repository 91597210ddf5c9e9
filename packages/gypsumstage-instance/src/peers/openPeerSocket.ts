import { describeError } from "@gypsumstage/shared/describeError";
import { invariant } from "@gypsumstage/shared/invariant";
import type { Log } from "@gypsumstage/shared/Log";
import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { createSocket } from "node:dgram";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import { parsePeerMessage } from "./parsePeerMessage.js";
import type { PeerMessage } from "./PeerMessage.js";
import type { PeerSocket } from "./PeerSocket.js";

/**
 * Opens the socket for datagrams between instances.
 *
 * @param internalAddress - `IP:port` to bind
 * @param onMessage - called with each well-formed message
 * @param metrics - receives the bytes of messages
 * @param log - receives malformed messages and socket errors
 * @returns the socket, once it is bound
 */
export const openPeerSocket = async (
    internalAddress: string,
    onMessage: (message: PeerMessage) => void,
    metrics: Pick<InstanceMetrics, "countReportBytes">,
    log: Log,
): Promise<PeerSocket> => {
    const ownAddress = parseAddress(internalAddress);
    invariant(ownAddress, "address-malformed");
    const socket = createSocket("udp4");
    socket.on("message", bytes => {
        const message = parsePeerMessage(bytes);
        if (!message.ok) {
            log("warn", "peer-report-malformed", { reason: message.error.reason });
            return;
        }
        metrics.countReportBytes("received", bytes.length);
        onMessage(message.value);
    });
    socket.on("error", err => log("warn", "peer-socket-failed", { reason: describeError(err) }));
    await new Promise<void>(resolve => socket.bind(ownAddress.port, ownAddress.host, resolve));
    const sendTo = (address: string, bytes: Buffer): void => {
        const target = parseAddress(address);
        if (target === undefined) {
            return;
        }
        metrics.countReportBytes("sent", bytes.length);
        socket.send(bytes, target.port, target.host, err => {
            if (err) {
                log("debug", "peer-report-not-sent", { to: address, reason: describeError(err) });
            }
        });
    };
    return {
        send: (method, params, addresses) => {
            const bytes = Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
            addresses.forEach(address => sendTo(address, bytes));
        },
        close: () => socket.close(),
    };
};
