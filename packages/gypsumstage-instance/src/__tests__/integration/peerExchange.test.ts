import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import type { RpcError } from "@gypsumstage/shared/RpcError";
import { sleep } from "@gypsumstage/shared/sleep";
import { success } from "@gypsumstage/shared/success";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { after, test } from "node:test";
import type { MemberQuery } from "../../peers/MemberQuery.js";
import type { PeerExchange } from "../../peers/PeerExchange.js";
import { startPeerExchange } from "../../peers/startPeerExchange.js";

const teardowns: (() => void)[] = [];
after(() => teardowns.forEach(teardown => teardown()));

/** More instances than addresses fit into one report. */
const FLEET = 24;
const TEST_TIMEOUT_MS = 30_000;

const exchanges = new Map<string, PeerExchange>();

/** Calls the exchanges of this process in place of RPC servers. */
const LOCAL_RPC = {
    call: <Value>(
        ...[address, , params]: readonly [string, string, unknown]
    ): Promise<Result<Value, RpcError>> => {
        const exchange = exchanges.get(address);
        return Promise.resolve(
            exchange === undefined
                ? failure({ kind: "rpc-unreachable", address, reason: "no such instance" })
                : success(exchange.readMembers(params as MemberQuery) as Value),
        );
    },
};

const findFreePort = async (): Promise<number> => {
    const socket = createSocket("udp4");
    await new Promise<void>(resolve => socket.bind(0, "127.0.0.1", resolve));
    const { port } = socket.address();
    socket.close();
    return port;
};

const startExchange = async (
    name: string,
    address: string,
    seeds: readonly string[],
): Promise<PeerExchange> => {
    const createReport = (peers: readonly string[]): PeerReport => ({
        name,
        dataCentre: "kutch-a",
        region: "kutch",
        address: `${name}:1`,
        incarnation: "i",
        internalAddress: address,
        isReady: true,
        topics: {},
        storeAgeMs: undefined,
        inFlight: {},
        demand: {},
        placed: {},
        peers,
    });
    const exchange = await startPeerExchange(
        seeds,
        createReport,
        LOCAL_RPC,
        { countReportBytes: () => undefined, recordReportGap: () => undefined },
        () => undefined,
    );
    exchanges.set(address, exchange);
    teardowns.push(exchange.stop);
    return exchange;
};

test("all instances find each other through one seed, although a report lists only some of them", {
    timeout: TEST_TIMEOUT_MS,
}, async () => {
    const ports = await Promise.all(Array.from({ length: FLEET }, findFreePort));
    const addresses = ports.map(port => `127.0.0.1:${port}`);
    const fleet = await Promise.all(
        addresses.map((address, index) => startExchange(`n-${index}`, address, addresses.slice(0, 1))),
    );
    while (fleet.some(exchange => exchange.live().length < FLEET - 1)) {
        await sleep(50);
    }
    assert.ok(fleet.every(exchange => exchange.fleetSize() === FLEET));
});

test("an instance does not take itself for the whole fleet right after its start", async () => {
    const exchange = await startExchange("n-new", `127.0.0.1:${await findFreePort()}`, []);
    assert.equal(exchange.isSettled(), false);
    while (!exchange.isSettled()) {
        await sleep(50);
    }
});
