import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import type { Caller } from "../../caller/Caller.js";
import type { CallerRequest } from "../../caller/CallerRequest.js";
import { countOutcomes } from "../../caller/countOutcomes.js";
import { createCaller } from "../../caller/createCaller.js";
import type { LoadResult } from "../../caller/LoadResult.js";
import { runLoad } from "../../caller/runLoad.js";
import { createTwoRegionPlan } from "../../deployment/createTwoRegionPlan.js";
import type { Deployment } from "../../deployment/Deployment.js";
import { startServing } from "../../deployment/startServing.js";
import { collectExecutions } from "../../upstream/collectExecutions.js";

const NETWORK = 42;
const RATE_PER_SECOND = 80;
const PLATFORM_HOST = `127.${NETWORK}.200.2`;

let deployment: Deployment;
let callers: readonly Caller[];
before(async () => {
    deployment = await startServing(createTwoRegionPlan(NETWORK, true));
    callers = deployment.instances.map((_none, index) => {
        const lookups = deployment.instances.map(instance => instance.lookup);
        return createCaller([...lookups.slice(index), ...lookups.slice(0, index)]);
    });
});
after(async () => {
    await Promise.all(callers.map(caller => caller.stop()));
    await deployment.stop();
});

const getCaller = (index: number): Caller => callers[index % callers.length] as Caller;

const createConfirmation = (name: string) => (index: number): CallerRequest => ({
    service: "booking-ledger",
    method: "POST",
    path: "/confirmations",
    id: `${name}-${index}`,
    isKeyed: true,
    // Without a body an entry could send the request again, so only the retry rules prevent a second attempt.
    ...(index % 2 === 0 ? {} : { body: JSON.stringify({ load: `${name}-${index}` }) }),
    maxAttempts: 3,
    timeoutMs: 1_500,
});

const createSlotCheck = (name: string) => (index: number): CallerRequest => ({
    service: "berth-desk",
    method: "GET",
    path: `/berths/${index}`,
    id: `${name}-read-${index}`,
    timeoutMs: 2_500,
});

/** Checks what must hold after every run, whichever faults were injected. */
const assertRunInvariants = (results: readonly LoadResult[], name: string): void => {
    const executions = collectExecutions(deployment.upstreams);
    // A key with a home has four parts; requests without a key may be executed more than once.
    const executedTwice = [...executions].filter(([id, count]) => count > 1 && id.split(".").length === 4);
    assert.deepEqual(executedTwice, [], "a key was executed twice");
    for (const result of results) {
        if (result.outcome === "served") {
            const responseBody = JSON.parse(result.body) as { readonly id: string; };
            assert.equal(responseBody.id, result.key ?? result.req.id, "response belongs to another request");
        }
    }
    const reportedNotRun = results.filter(result => result.outcome === "not-run" && result.attempts === 1);
    const executedAnyway = reportedNotRun.filter(result =>
        (executions.get(result.key ?? result.req.id) ?? 0) > 0
    );
    assert.deepEqual(executedAnyway.map(result => result.req.id), [], "reported as not-run but executed");
    process.stderr.write(`${name}: ${JSON.stringify(countOutcomes(results))}\n`);
};

const runMixedLoad = async (
    name: string,
    durationMs: number,
    injectFaults: () => Promise<void>,
): Promise<readonly LoadResult[]> => {
    // Most confirmations reach their home through another entry, many of them through one in another region.
    const createRequest = (index: number): CallerRequest => ({
        ...createConfirmation(name)(index),
        firstInstanceIndex: index % 4,
    });
    const confirmations = runLoad(getCaller, {
        ratePerSecond: RATE_PER_SECOND,
        durationMs,
        createRequest,
    });
    const slotChecks = runLoad(getCaller, {
        ratePerSecond: RATE_PER_SECOND * 2,
        durationMs,
        createRequest: createSlotCheck(name),
    });
    await injectFaults();
    return [...await confirmations, ...await slotChecks];
};

test("without faults every request is served and no key is executed twice", async () => {
    const results = await runMixedLoad("calm", 2_000, async () => undefined);
    assertRunInvariants(results, "calm");
    assert.deepEqual(Object.keys(countOutcomes(results)), ["served"]);
});

test("after a home is killed and restarted no key is executed twice", async () => {
    const results = await runMixedLoad("kill", 6_000, async () => {
        await sleep(1_000);
        deployment.findRole("kutch-a-1", "entry").child.kill("SIGKILL");
        await deployment.findRole("kutch-a-1", "entry").exited;
        await sleep(1_000);
        deployment.restart("kutch-a-1", "entry");
        await sleep(1_500);
        deployment.findRole("bharuch-b-1", "entry").child.kill("SIGKILL");
        await deployment.findRole("bharuch-b-1", "entry").exited;
        deployment.restart("bharuch-b-1", "entry");
    });
    assertRunInvariants(results, "kill");
});

test("after a home is paused for longer than every expiry time and resumes no key is executed twice", async () => {
    const results = await runMixedLoad("pause", 8_000, async () => {
        await sleep(1_000);
        deployment.findRole("kutch-b-1", "entry").child.kill("SIGSTOP");
        await sleep(6_000);
        deployment.findRole("kutch-b-1", "entry").child.kill("SIGCONT");
    });
    assertRunInvariants(results, "pause");
});

test("while upstreams fail, lose or truncate responses no incomplete response is reported as served", async () => {
    const results = await runMixedLoad("cut", 4_000, async () => {
        deployment.upstreams.forEach((upstream, index) =>
            upstream.setBehaviour({ truncatedFraction: 0.1, lostFraction: 0.1, isFailing: index % 5 === 0 })
        );
        await sleep(3_000);
        deployment.upstreams.forEach(upstream =>
            upstream.setBehaviour({ truncatedFraction: 0, lostFraction: 0, isFailing: false })
        );
    });
    assertRunInvariants(results, "cut");
});

test("data dropped silently in one direction between regions causes no second execution", async () => {
    const results = await runMixedLoad("drop", 6_000, async () => {
        await sleep(500);
        const isKutch = (host: string): boolean => /^127\.\d+\.[12]\./.test(host);
        const isBharuch = (host: string): boolean => /^127\.\d+\.[34]\./.test(host);
        deployment.proxy?.setRule((from, to) => isKutch(from) && isBharuch(to) ? "drop" : "pass");
        await sleep(3_000);
        deployment.proxy?.setRule((from, to) => isBharuch(from) && isKutch(to) ? "reset" : "pass");
        await sleep(1_500);
        deployment.proxy?.setRule(() => "pass");
    });
    assertRunInvariants(results, "drop");
});

const createRequestWithKey = (key: string, index: number): CallerRequest => ({
    service: "booking-ledger",
    method: "POST",
    path: "/confirmations",
    id: `${key}-${index}`,
    key,
    body: "{}",
});

test("a key made by callers, without a home, is executed once although sent to all regions concurrently", async () => {
    const results = await Promise.all(
        callers.map((caller, index) => caller.send(createRequestWithKey("own-1", index))),
    );
    assert.equal(collectExecutions(deployment.upstreams).get("own-1"), 1);
    assert.equal(
        results.filter(result => result.outcome === "served").length,
        callers.length,
        JSON.stringify(results),
    );
});

test("a claim whose write response is lost is confirmed by reading it back", async () => {
    deployment.platform.setFaults({ isResponseLost: true });
    const results = await Promise.all(
        callers.map((caller, index) => caller.send(createRequestWithKey("own-2", index))),
    );
    deployment.platform.setFaults({ isResponseLost: false });
    assert.equal(collectExecutions(deployment.upstreams).get("own-2"), 1);
    assert.deepEqual(countOutcomes(results), { served: callers.length });
});

test("while the platform is down a key without a home is refused unexecuted, one with a home is served", async () => {
    deployment.platform.setFaults({ isDown: true });
    const refused = await getCaller(0).send(createRequestWithKey("own-3", 0));
    const served = await getCaller(0).send(createConfirmation("homed")(0));
    deployment.platform.setFaults({ isDown: false });
    assert.equal(refused.outcome, "not-run");
    assert.equal(collectExecutions(deployment.upstreams).get("own-3"), undefined);
    assert.equal(served.outcome, "served");
});

test("while the platform is slow a key without a home is refused unexecuted, one with a home is served", async () => {
    deployment.platform.setFaults({ delayMs: 5_000 });
    const [withoutHome, withHome] = await Promise.all([
        getCaller(0).send({ ...createRequestWithKey("own-4", 0), timeoutMs: 20_000 }),
        getCaller(0).send(createConfirmation("slow")(0)),
    ]);
    deployment.platform.setFaults({ delayMs: 0 });
    assert.equal(withoutHome.outcome, "not-run");
    assert.equal(withHome.outcome, "served");
    assert.equal(collectExecutions(deployment.upstreams).get("own-4"), undefined);
});

test("keys whose home is in the one data centre that cannot reach the platform are still served", async () => {
    const host = deployment.instances[0]?.host;
    deployment.proxy?.setRule((from, to) => from === host && to === PLATFORM_HOST ? "drop" : "pass");
    const results = await runLoad(() => getCaller(0), {
        ratePerSecond: 40,
        durationMs: 6_000,
        createRequest: createConfirmation("cutoff"),
    });
    deployment.proxy?.setRule(() => "pass");
    assertRunInvariants(results, "cutoff");
    assert.deepEqual(Object.keys(countOutcomes(results)), ["served"]);
});
