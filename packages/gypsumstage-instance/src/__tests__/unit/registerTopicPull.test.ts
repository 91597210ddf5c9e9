import { createStore } from "@gypsumstage/shared/createStore";
import { failure } from "@gypsumstage/shared/failure";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { sleep } from "@gypsumstage/shared/sleep";
import type { Store } from "@gypsumstage/shared/Store";
import { success } from "@gypsumstage/shared/success";
import { EMPTY_TOPIC } from "@gypsumstage/steering/traffic/EMPTY_TOPIC";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { TopicEvent } from "@gypsumstage/steering/traffic/TopicEvent";
import type { TopicState } from "@gypsumstage/steering/traffic/TopicState";
import { updateTopic } from "@gypsumstage/steering/traffic/updateTopic";
import assert from "node:assert/strict";
import { test } from "node:test";
import { registerTopicPull } from "../../peers/registerTopicPull.js";

const peer = (name: string, region: string): PeerState => ({
    receivedAtMs: 0,
    heardAtMs: 0,
    report: {
        name,
        dataCentre: `${region}-a`,
        region,
        address: `${name}:1`,
        incarnation: "i",
        internalAddress: `${name}:2`,
        isReady: true,
        topics: { policy: { revision: 9, count: 0 } },
        storeAgeMs: undefined,
        inFlight: {},
        demand: {},
        placed: {},
        peers: [],
    },
});

const start = (
    rpc: RpcClient,
    peers: () => readonly PeerState[],
): { readonly topic: Store<TopicState, TopicEvent>; readonly stop: () => void; } => {
    const topic = createStore<TopicState, TopicEvent>(EMPTY_TOPIC, updateTopic);
    const stop = registerTopicPull(
        "policy",
        topic,
        { dataCentre: "kutch-a", region: "kutch" },
        peers,
        rpc,
        { recordTopicPull: () => undefined },
        () => undefined,
    );
    return { topic, stop };
};

test("after a failed fetch the next one goes to another instance that has the same version", async () => {
    const calls: string[] = [];
    const rpc: RpcClient = {
        call: <Value>(address: string) => {
            calls.push(address);
            return Promise.resolve(
                address === "near:2"
                    ? failure({ kind: "rpc-unreachable", address, reason: "timeout" })
                    : success({ revision: 9, records: [] } as Value),
            );
        },
        close: () => Promise.resolve(),
    };
    const { topic, stop } = start(rpc, () => [peer("near", "kutch"), peer("far", "bharuch")]);
    await sleep(600);
    stop();
    assert.deepEqual(calls, ["near:2", "far:2"]);
    assert.equal(topic.get().revision, 9);
});

test("changes in quick succession are fetched together, a few times a second", async () => {
    let fetches = 0;
    const rpc: RpcClient = {
        call: <Value>() => {
            fetches += 1;
            return Promise.resolve(success({ revision: 10 + fetches, records: [] } as Value));
        },
        close: () => Promise.resolve(),
    };
    const { stop } = start(rpc, () => {
        const near = peer("near", "kutch");
        return [{
            ...near,
            report: { ...near.report, topics: { policy: { revision: 20 + fetches, count: 0 } } },
        }];
    });
    await sleep(800);
    stop();
    assert.ok(fetches > 0 && fetches <= 4, `${fetches} fetches`);
});

test(
    "the names of all records are asked for when a peer has fewer at the same revision",
    { timeout: 10_000 },
    async () => {
        const queries: unknown[] = [];
        const rpc: RpcClient = {
            call: <Value>(...[, , query]: readonly [string, string, unknown]) => {
                queries.push(query);
                return Promise.resolve(success({ revision: 9, records: [], names: [] } as Value));
            },
            close: () => Promise.resolve(),
        };
        const { topic, stop } = start(rpc, () => [peer("near", "kutch")]);
        while (topic.get().revision === undefined) {
            await sleep(10);
        }
        topic.dispatch({
            kind: "listed",
            records: [{ name: "a", revision: 3, value: { kind: "evacuation", dataCentre: "a" } }],
            era: 0,
            revision: 9,
            retainUntilMs: undefined,
            nowMs: 0,
        });
        while (topic.get().records.size > 0) {
            await sleep(50);
        }
        stop();
        assert.deepEqual(queries.at(-1), { topic: "policy", era: 0, since: 9, areNamesNeeded: true });
    },
);
