import assert from "node:assert/strict";
import { test } from "node:test";
import { createKeyModel } from "./createKeyModel.js";

const REVOKE_MS = 5_000;
const NEEDED_WITHOUT_STORE_MS = 0.6 * REVOKE_MS;
const SIZE = 12;
const REQUEST = { keyDigest: "a", workspace: { name: "w-a" } as never, arrivedAtMs: 0 };

type Model = Awaited<ReturnType<typeof createKeyModel>>;

/** Sends a request for key `a` to each instance at each step; returns when each verdict was last given, by instance. */
const sendFor = async (model: Model, ms: number): Promise<readonly Readonly<Record<string, number>>[]> => {
    const lastMs: Record<string, number>[] = model.instances.map(() => ({}));
    let nowMs = 0;
    await model.runFor(ms, () => {
        nowMs += 10;
        const sentAtMs = nowMs;
        model.instances.forEach((instance, index) =>
            void instance.admit("a").then(verdict => (lastMs[index] ?? {})[verdict] = sentAtMs)
        );
    });
    await model.runFor(500);
    return lastMs;
};

test("whenever the store is lost, keys are served for 0.6 of the bound", async () => {
    const model = await createKeyModel(SIZE, REVOKE_MS, ["a"]);
    for (let round = 0; round < 10; round++) {
        await model.runFor(3_000 + 170 * round);
        model.instances.forEach(each => each.faults.store = true);
        await model.runFor(NEEDED_WITHOUT_STORE_MS);
        const verdicts = model.instances.map(each => each.keys.trust.judge({ isPublic: false }, "a", 0).kind);
        assert.deepEqual(new Set(verdicts), new Set(["workspace"]));
        model.instances.forEach(each => each.faults.store = false);
    }
    model.stop();
});

test("without the store, keys are served for 0.6 of the bound, a revoked one no longer than it, and public routes all the time", async () => {
    const model = await createKeyModel(SIZE, REVOKE_MS, ["a", "b"]);
    model.instances.forEach(each => each.faults.store = true);
    model.store(["b"]);
    for (const last of await sendFor(model, 8_000)) {
        const acceptedMs = last["workspace"] ?? 0;
        assert.ok(acceptedMs >= NEEDED_WITHOUT_STORE_MS && acceptedMs < REVOKE_MS, `${acceptedMs} ms`);
        assert.equal(last["unknown-key"], undefined);
    }
    for (const { keys } of model.instances) {
        assert.equal(keys.trust.judge({ isPublic: true }, "a", 0).kind, "anonymous");
        assert.ok(keys.isUnconfirmed());
    }
    model.stop();
});

test("a third, the readers included, that loses the store for 9 s refuses a revoked key in time and no other key", async () => {
    const model = await createKeyModel(SIZE, REVOKE_MS, ["a", "b"]);
    model.instances.slice(0, SIZE / 3).forEach(each => each.faults.store = true);
    model.store(["b"]);
    const others = new Set<string>();
    const refused = setInterval(
        () => model.instances.forEach(each => void each.admit("b").then(verdict => others.add(verdict))),
        50,
    );
    for (const last of await sendFor(model, 9_000)) {
        assert.ok((last["workspace"] ?? 0) < REVOKE_MS, JSON.stringify(last));
        assert.ok((last["unknown-key"] ?? 0) > REVOKE_MS, JSON.stringify(last));
    }
    clearInterval(refused);
    assert.deepEqual([...others], ["workspace"]);
    model.stop();
});

test("an instance that is cut off from all answers neither with a revoked key's workspace nor with 401", async () => {
    const model = await createKeyModel(SIZE, REVOKE_MS, ["a", "b"]);
    Object.assign(model.instances[5]?.faults ?? {}, { store: true, peers: true });
    model.store(["b"]);
    const last = (await sendFor(model, 7_000))[5];
    assert.ok((last?.["workspace"] ?? 0) < REVOKE_MS);
    assert.ok((last?.["unconfirmed"] ?? 0) > REVOKE_MS);
    assert.equal(last?.["unknown-key"], undefined);
    model.stop();
});

test("an instance that is frozen between the check and the attempt, without its monotonic clock, sends nothing", async () => {
    const model = await createKeyModel(SIZE, REVOKE_MS, ["a", "b"]);
    const frozen = model.instances[5];
    assert.ok(frozen);
    assert.equal(await frozen.admit("a"), "workspace");
    assert.equal(frozen.keys.trust.findRefusal(REQUEST), undefined);
    frozen.faults.frozenMs = 6_000;
    assert.equal(frozen.keys.trust.findRefusal(REQUEST)?.reason, "key-unconfirmed");
    model.store(["b"]);
    await model.runFor(REVOKE_MS);
    assert.equal(frozen.keys.trust.findRefusal(REQUEST)?.reason, "unknown-key");
    assert.equal(frozen.keys.trust.findRefusal({ ...REQUEST, keyDigest: "b" })?.reason, "key-unconfirmed");
    model.stop();
});

test("answers that are late count from before the question, so a revoked key is not accepted for longer", async () => {
    const model = await createKeyModel(SIZE, REVOKE_MS, ["a", "b"]);
    for (const { faults } of model.instances.slice(3)) {
        Object.assign(faults, { delayMs: REVOKE_MS, store: true });
    }
    // The first questions have been answered by then, and the answers are still on their way.
    await model.runFor(REVOKE_MS + 900);
    model.store(["b"]);
    for (const last of await sendFor(model, 8_000)) {
        assert.ok((last["workspace"] ?? 0) < REVOKE_MS, JSON.stringify(last));
    }
    model.stop();
});

test("a key that was just added is accepted at once, and never answered 401 without a read of the store", async () => {
    const model = await createKeyModel(SIZE, REVOKE_MS, ["a"]);
    const verdicts = new Set<string>();
    const added: string[] = [];
    for (let round = 0; round < 20; round++) {
        if (round === 10) {
            model.instances.forEach(each => each.faults.store = true);
        }
        const key = `added-${round}`;
        added.push(key);
        model.store(["a", ...added]);
        model.instances.forEach(each => void each.admit(key).then(verdict => verdicts.add(verdict)));
        await model.runFor(130);
        if (round === 9) {
            await model.runFor(400);
            assert.deepEqual([...verdicts], ["workspace"]);
        }
    }
    await model.runFor(500);
    assert.ok(!verdicts.has("unknown-key"), [...verdicts].join());
    model.stop();
});

test("forged keys cause no more than ten reads of the store a second in each region", async () => {
    const model = await createKeyModel(SIZE, REVOKE_MS, ["a"]);
    const before = model.counts().reads;
    let forged = 0;
    await model.runFor(2_000, () => {
        model.instances.forEach(each => void each.admit(`forged-${forged += 1}`));
    });
    const reads = model.counts().reads - before;
    assert.ok(reads <= 3 * 10 * 2 + 3 * 4, `${reads} reads for ${forged} keys`);
    model.stop();
});

test("nothing is asked or read without workspaces, or where keys are not revoked strictly", async () => {
    for (const [bound, keys] of [[undefined, ["a"]], [REVOKE_MS, []]] as const) {
        const model = await createKeyModel(3, bound, keys);
        await model.runFor(3_000);
        assert.deepEqual(model.counts(), { reads: 0, questions: 0 });
        assert.equal(await model.instances[0]?.admit("b"), keys.length === 0 ? "anonymous" : "unknown-key");
        model.stop();
    }
});

test("while the reader of a region is frozen for 6 s, all others go on accepting keys", async () => {
    const model = await createKeyModel(SIZE, REVOKE_MS, ["a"]);
    const [frozen] = model.instances;
    assert.ok(frozen);
    Object.assign(frozen.faults, { store: true, peers: true, frozenMs: 6_000 });
    assert.equal(frozen.keys.trust.findRefusal(REQUEST)?.reason, "key-unconfirmed");
    const others = (await sendFor(model, 6_000)).slice(1);
    assert.deepEqual(new Set(others.flatMap(last => Object.keys(last))), new Set(["workspace"]));
    Object.assign(frozen.faults, { store: false, peers: false });
    await model.runFor(1_000);
    assert.equal(await frozen.admit("a"), "workspace");
    model.stop();
});
