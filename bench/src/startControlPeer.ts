import Fastify from "fastify";
import { CONTROL_NETWORK } from "./CONTROL_NETWORK.js";
import type { ControlPeer } from "./ControlPeer.js";
import { createControlRecord } from "./createControlRecord.js";

const MAX_BODY_BYTES = 8_000_000;

/**
 * Starts a peer that knows all records and renews every one of them each second.
 *
 * @param number - number of the peer, from 1
 * @param peers - how many there are
 * @param size - instances of the fleet
 * @returns the running peer
 */
export const startControlPeer = async (
    number: number,
    peers: number,
    size: number,
): Promise<ControlPeer> => {
    let bytes = 0;
    const app = Fastify({ bodyLimit: MAX_BODY_BYTES });
    app.addHook("onSend", async (req, _reply, payload) => {
        bytes += Number(req.headers["content-length"] ?? 0) + String(payload).length;
        return payload;
    });
    app.post("/rpc", async req => {
        const call = req.body as {
            readonly id: number;
            readonly params: { readonly sequences: Readonly<Record<string, number>>; };
        };
        const nowMs = Math.floor(Date.now() / 1_000) * 1_000;
        const records = Array.from(
            { length: size },
            (_none, index) => ({ ...createControlRecord(index, peers), sequence: nowMs, ageMs: 100 }),
        )
            .filter(record => record.sequence > (call.params.sequences[`${record.name}.l1`] ?? 0));
        return { jsonrpc: "2.0", id: call.id, result: { generation: 1, records } };
    });
    await app.listen({ host: `127.${CONTROL_NETWORK}.2.${number}`, port: 8_090 });
    return { app, bytes: () => bytes };
};
