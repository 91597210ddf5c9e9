import Fastify from "fastify";
import { CONTROL_NETWORK } from "./CONTROL_NETWORK.js";
import type { ControlPeer } from "./ControlPeer.js";
import { createControlRecord } from "./createControlRecord.js";

const MAX_BODY_BYTES = 8_000_000;

/**
 * Starts a stand-in peer that returns the records of the fleet's instances, with new sequence numbers every second.
 *
 * @param peerNumber - number of the peer, from 1; the last octet of its address
 * @param peerCount - number of stand-in peers
 * @param fleetSize - number of instances in the fleet
 * @returns the listening peer; the owner must close it
 */
export const startControlPeer = async (
    peerNumber: number,
    peerCount: number,
    fleetSize: number,
): Promise<ControlPeer> => {
    let transferredBytes = 0;
    const app = Fastify({ bodyLimit: MAX_BODY_BYTES });
    app.addHook("onSend", async (req, _reply, payload) => {
        transferredBytes += Number(req.headers["content-length"] ?? 0) + String(payload).length;
        return payload;
    });
    app.post("/rpc", async req => {
        const rpcRequest = req.body as {
            readonly id: number;
            readonly params: { readonly sequences: Readonly<Record<string, number>>; };
        };
        const nowMs = Math.floor(Date.now() / 1_000) * 1_000;
        const records = Array.from(
            { length: fleetSize },
            (_none, index) => ({ ...createControlRecord(index, peerCount), sequence: nowMs, ageMs: 100 }),
        )
            .filter(record => record.sequence > (rpcRequest.params.sequences[`${record.name}.l1`] ?? 0));
        return { jsonrpc: "2.0", id: rpcRequest.id, result: { generation: 1, records } };
    });
    await app.listen({ host: `127.${CONTROL_NETWORK}.2.${peerNumber}`, port: 8_090 });
    return { app, transferredBytes: () => transferredBytes };
};
