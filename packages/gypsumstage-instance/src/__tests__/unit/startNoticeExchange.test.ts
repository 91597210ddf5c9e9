import { failure } from "@gypsumstage/shared/failure";
import type { Log } from "@gypsumstage/shared/Log";
import type { Result } from "@gypsumstage/shared/Result";
import type { RpcError } from "@gypsumstage/shared/RpcError";
import { success } from "@gypsumstage/shared/success";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import type { Notice } from "../../notices/Notice.js";
import type { NoticeTopic } from "../../notices/NoticeTopic.js";
import { startNoticeExchange } from "../../notices/startNoticeExchange.js";

const STEP_MS = 10;
/** Share of the messages that are lost. */
const LOSS = 0.05;
const NO_LOG: Log = () => undefined;

interface Content {
    readonly key: string;
    /** Names of the instances that noticed it themselves. */
    readonly noticedBy: readonly string[];
}

interface TestMember {
    readonly name: string;
    /** Names of the instances that noticed something, by its key. */
    readonly known: ReadonlyMap<string, ReadonlySet<string>>;
    readonly messages: () => number;
    /** Lets this member notice something of its own. */
    readonly notice: (key: string) => void;
    readonly stop: () => void;
}

interface TestNetwork {
    readonly members: readonly TestMember[];
    /** Cuts a member off from all others, or ends the cut. */
    readonly setCutOff: (name: string, isCutOff: boolean) => void;
    readonly add: (name: string) => TestMember;
}

const toPeer = (name: string): PeerState =>
    ({ report: { name, internalAddress: name }, receivedAtMs: 0, heardAtMs: 0 }) as unknown as PeerState;

/** Connects exchanges without sockets; messages arrive at once or are lost. A member that can't merge learns nothing. */
const createNetwork = (
    names: readonly string[],
    canMerge: (name: string) => boolean = () => true,
): TestNetwork => {
    const receivers = new Map<string, (notices: readonly Notice[]) => void>();
    const readers = new Map<string, () => readonly Notice[]>();
    const cutOff = new Set<string>();
    const members: TestMember[] = [];
    const all = new Map(names.map(name => [name, toPeer(name)]));
    const canReach = (from: string, to: string): boolean =>
        from !== to && receivers.has(to) && !cutOff.has(from) && !cutOff.has(to);
    const add = (name: string): TestMember => {
        all.set(name, toPeer(name));
        const known = new Map<string, ReadonlySet<string>>();
        const listeners = new Set<(key: string) => void>();
        let messages = 0;
        const topic: NoticeTopic = {
            name: "test",
            keys: () => [...known.keys()],
            read: key => ({ key, noticedBy: [...known.get(key) ?? []] }),
            isPreliminary: key => key.startsWith("preliminary") && (known.get(key)?.size ?? 0) < 2,
            merge: content => {
                const { key, noticedBy } = content as Content;
                if (!canMerge(name)) {
                    return undefined;
                }
                const before = known.get(key) ?? new Set();
                const merged = new Set([...before, ...noticedBy]);
                known.set(key, merged);
                return merged.size > before.size ? key : undefined;
            },
            registerListener: listener => {
                listeners.add(listener);
                return () => listeners.delete(listener);
            },
        };
        const others = (): readonly PeerState[] =>
            [...all.values()].filter(peer => peer.report.name !== name);
        const exchange = startNoticeExchange(
            name,
            [topic],
            {
                all: others,
                live: () => others().filter(peer => canReach(name, peer.report.name)),
                notify: (notices, { report }) => {
                    messages += 1;
                    if (canReach(name, report.name) && Math.random() >= LOSS) {
                        receivers.get(report.name)?.(notices);
                    }
                },
                registerNoticeListener: listener => {
                    receivers.set(name, listener);
                    return () => receivers.delete(name);
                },
            },
            () => canMerge(name),
            {
                call: <Value>(address: string): Promise<Result<Value, RpcError>> =>
                    Promise.resolve(
                        canReach(name, address)
                            ? success((readers.get(address)?.() ?? []) as Value)
                            : failure({ kind: "rpc-unreachable", address, reason: "cut" }),
                    ),
            },
            NO_LOG,
        );
        readers.set(name, exchange.readAll);
        const member: TestMember = {
            name,
            known,
            messages: () => messages,
            notice: key => {
                known.set(key, new Set([...known.get(key) ?? [], name]));
                listeners.forEach(listener => listener(key));
            },
            stop: exchange.stop,
        };
        members.push(member);
        return member;
    };
    names.forEach(add);
    return {
        members,
        add,
        setCutOff: (name, isCutOff) => {
            if (isCutOff) {
                cutOff.add(name);
            }
            else {
                cutOff.delete(name);
            }
        },
    };
};

const advance = async (t: TestContext, durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        t.mock.timers.tick(STEP_MS);
        await Promise.resolve();
        await Promise.resolve();
    }
};

const createNames = (count: number): readonly string[] =>
    Array.from({ length: count }, (...[, index]) => `n-${index}`);

for (const size of [2, 8, 84, 3_200]) {
    test(`within a second all of ${size} instances know what one noticed, and each has sent at most 18 messages for it`, async t => {
        t.mock.timers.enable({ apis: ["setTimeout"] });
        const { members } = createNetwork(createNames(size));
        await advance(t, 300);
        members[0]?.notice("limit");
        await advance(t, 1_000);
        assert.equal(members.filter(member => member.known.has("limit")).length, size);
        await advance(t, 1_000);
        assert.ok(members.every(member => member.messages() <= 18));
        members.forEach(member => member.stop());
    });
}

test("an instance that starts later fetches what was noticed before", async t => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const network = createNetwork(createNames(8));
    network.members[0]?.notice("limit");
    await advance(t, 3_000);
    const joined = network.add("n-new");
    await advance(t, 500);
    assert.ok(joined.known.has("limit"));
    network.members.forEach(member => member.stop());
});

test("an instance that starts fetches the notices only when it knows what they are about", async t => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    let isViewComplete = false;
    const network = createNetwork(createNames(8), name => name !== "n-new" || isViewComplete);
    network.members[0]?.notice("limit");
    await advance(t, 3_000);
    const joined = network.add("n-new");
    await advance(t, 500);
    isViewComplete = true;
    await advance(t, 200);
    assert.ok(joined.known.has("limit"));
    network.members.forEach(member => member.stop());
});

test("after a cut both sides know what the other one noticed during it", async t => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const network = createNetwork(createNames(8));
    await advance(t, 500);
    const [cut, other] = network.members;
    assert.ok(cut && other);
    network.setCutOff(cut.name, true);
    await advance(t, 500);
    cut.notice("of-the-cut-instance");
    other.notice("of-the-others");
    await advance(t, 3_000);
    network.setCutOff(cut.name, false);
    await advance(t, 1_500);
    assert.ok(network.members.every(member => member.known.has("of-the-others")));
    assert.ok(network.members.every(member => member.known.has("of-the-cut-instance")));
    network.members.forEach(member => member.stop());
});

test("a preliminary notice reaches two collectors only; once two instances have noticed the same, all know it", async t => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const { members } = createNetwork(createNames(84));
    await advance(t, 300);
    members[0]?.notice("preliminary");
    await advance(t, 1_000);
    assert.ok(members.filter(member => member.known.has("preliminary")).length <= 3);
    assert.ok(members.every(member => member.messages() <= 6));
    members[1]?.notice("preliminary");
    await advance(t, 1_500);
    assert.ok(members.every(member => member.known.get("preliminary")?.size === 2));
    members.forEach(member => member.stop());
});
