import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import type { Caller } from "../../caller/Caller.js";
import type { CallerRequest } from "../../caller/CallerRequest.js";
import { createCallers } from "../../caller/createCallers.js";
import type { LoadResult } from "../../caller/LoadResult.js";
import { runLoad } from "../../caller/runLoad.js";
import { createTwoRegionPlan } from "../../deployment/createTwoRegionPlan.js";
import type { Deployment } from "../../deployment/Deployment.js";
import { postAdmin } from "../../deployment/postAdmin.js";
import { readStatus } from "../../deployment/readStatus.js";
import type { RoleName } from "../../deployment/RoleName.js";
import { startServing } from "../../deployment/startServing.js";
import { waitFor } from "../../deployment/waitFor.js";
import type { UpstreamStandin } from "../../upstream/UpstreamStandin.js";

const NETWORK = 43;
/** Target: a leaving upstream gets no new requests after the lag of the list of members plus this time. */
const MAX_LEAVING_DELAY_MS = 3_000;
const DRAIN_TIMEOUT_MS = 20_000;

let deployment: Deployment;
let callers: readonly Caller[];
before(async () => {
    deployment = await startServing(createTwoRegionPlan(NETWORK, false));
    callers = createCallers(deployment);
});
after(async () => {
    await Promise.all(callers.map(caller => caller.stop()));
    await deployment.stop();
});

const getCaller = (index: number): Caller => callers[index % callers.length] as Caller;
const getSteerAddress = (): string => deployment.instances[0]?.steer ?? "";

const createMixedRequest = (name: string) => (index: number): CallerRequest =>
    index % 3 === 0
        ? {
            service: "booking-ledger",
            method: "POST",
            path: "/confirmations",
            id: `${name}-${index}`,
            isKeyed: true,
            body: "{}",
        }
        : { service: "berth-desk", method: "GET", path: `/berths/${index}`, id: `${name}-${index}` };

const runLoadDuring = async (name: string, action: () => Promise<void>): Promise<readonly LoadResult[]> => {
    let isDone = false;
    const results: LoadResult[] = [];
    const load = async (): Promise<void> => {
        for (let round = 0; !isDone; round++) {
            results.push(
                ...await runLoad(getCaller, {
                    ratePerSecond: 100,
                    durationMs: 500,
                    createRequest: createMixedRequest(`${name}-${round}`),
                }),
            );
        }
    };
    const running = load();
    await action().finally(() => {
        isDone = true;
    });
    await running;
    return results;
};

const assertAllServed = (results: readonly LoadResult[]): void => {
    const others = results.filter(result => result.outcome !== "served");
    assert.deepEqual(others.map(each => `${each.req.id} ${each.outcome} ${each.status} ${each.body}`), []);
};

const restartGracefully = async (instance: string, role: RoleName): Promise<void> => {
    const roleProcess = deployment.findRole(instance, role);
    roleProcess.child.kill("SIGTERM");
    assert.equal(await roleProcess.exited, 0, `${instance} ${role}`);
    deployment.restart(instance, role);
};

const isServing = async (): Promise<boolean> => {
    const status = await readStatus(getSteerAddress());
    const instances = status?.dataCentres.flatMap(each => each.instances) ?? [];
    return instances.every(each =>
        each.verdict === "in-force" && !each.isLeaving
        && Object.values(each.freeSlots).some(count => count > 0)
    );
};

test("graceful restarts of all entries, one after the other, abort and refuse no request", async () => {
    const results = await runLoadDuring("roll", async () => {
        for (const instance of deployment.instances) {
            await restartGracefully(instance.name, "entry");
            assert.notEqual(await waitFor(isServing, DRAIN_TIMEOUT_MS), undefined);
        }
    });
    assertAllServed(results);
});

test("graceful restarts of lookup and steer processes abort and refuse no request", async () => {
    const results = await runLoadDuring("others", async () => {
        for (const instance of deployment.instances.slice(0, 2)) {
            await restartGracefully(instance.name, "lookup");
            await sleep(500);
            await restartGracefully(instance.name, "steer");
            assert.notEqual(await waitFor(isServing, DRAIN_TIMEOUT_MS), undefined);
        }
    });
    assertAllServed(results);
});

const getUpstream = (name: string): UpstreamStandin =>
    deployment.upstreams.find(each => each.name === name) as UpstreamStandin;

test("an upstream listed as leaving gets no new requests after the lag of the list plus 3 s", async () => {
    const lagMs = 2_000;
    deployment.platform.setFaults({ listLagMs: lagMs });
    const markedAtMs = monotonicNow();
    const results = await runLoadDuring("listed", async () => {
        deployment.updateMember("berth-desk-1", { state: "leaving" });
        await sleep(lagMs + MAX_LEAVING_DELAY_MS + 1_500);
    });
    assertAllServed(results);
    const lastStartedAtMs = getUpstream("berth-desk-1").record().lastStartedAtMs;
    assert.ok(
        lastStartedAtMs > 0 && lastStartedAtMs - markedAtMs <= lagMs + MAX_LEAVING_DELAY_MS,
        `${lastStartedAtMs - markedAtMs} ms after it was set to leaving`,
    );
    deployment.updateMember("berth-desk-1", { state: "live" });
    deployment.platform.setFaults({ listLagMs: 0 });
});

test("an upstream that signals draining gets no new requests, also while the platform is down", async () => {
    deployment.platform.setFaults({ isDown: true });
    const results = await runLoadDuring("signalled", async () => {
        getUpstream("berth-desk-2").setBehaviour({ isDraining: true });
        await sleep(4_000);
    });
    deployment.platform.setFaults({ isDown: false });
    assertAllServed(results);
    const { refused } = getUpstream("berth-desk-2").record();
    assert.ok(refused < 10, `${refused} requests were sent to it while it was draining`);
    getUpstream("berth-desk-2").setBehaviour({ isDraining: false });
});

const drainAndWait = async (scope: string, name: string): Promise<void> => {
    const started = await postAdmin(getSteerAddress(), "/v1/drains", { scope, name });
    assert.equal(started.status, 200, JSON.stringify(started.body));
    const drainedAfterMs = await waitFor(async () => {
        const status = await readStatus(getSteerAddress());
        return status?.drains.some(each => each.name === name && each.state === "drained") === true;
    }, DRAIN_TIMEOUT_MS);
    assert.notEqual(drainedAfterMs, undefined, `drain of ${name} did not complete in time`);
};

const cancelDrain = async (scope: string, name: string): Promise<void> => {
    const cancelled = await postAdmin(getSteerAddress(), "/v1/drains/cancel", { scope, name });
    assert.equal(cancelled.status, 200);
    assert.notEqual(await waitFor(isServing, DRAIN_TIMEOUT_MS), undefined);
};

for (
    const [scope, name, isInScope] of [
        ["endpoint", "berth-desk-3", (upstream: string) => upstream === "berth-desk-3"],
        ["dataCentre", "kutch-a", (upstream: string) => /-[15]$/.test(upstream)],
        ["region", "bharuch", (upstream: string) => /-[3478]$/.test(upstream)],
    ] as const
) {
    test(`a drain of ${scope} ${name} aborts no request, and no new request starts there once drained`, async () => {
        let drainedAtMs = 0;
        const results = await runLoadDuring(`drain-${scope}`, async () => {
            await drainAndWait(scope, name);
            drainedAtMs = monotonicNow();
            await sleep(2_000);
        });
        assertAllServed(results);
        for (const upstream of deployment.upstreams.filter(each => isInScope(each.name))) {
            assert.ok(upstream.record().lastStartedAtMs <= drainedAtMs, upstream.name);
        }
        await cancelDrain(scope, name);
    });
}

test("the plan of a drain that the remaining capacity cannot carry lists the shortfalls for which it is refused", async () => {
    const started = await postAdmin(getSteerAddress(), "/v1/drains", { scope: "region", name: "kutch" });
    assert.equal(started.status, 200);
    const plan = await postAdmin(getSteerAddress(), "/v1/drains/plan", { scope: "region", name: "bharuch" });
    assert.deepEqual(
        (plan.body as { readonly shortfalls: readonly { readonly what: string; }[]; }).shortfalls.map(
            each => each.what,
        ),
        [
            "service berth-desk in slots",
            "service booking-ledger in slots",
            "service document-intake in slots",
        ],
    );
    await cancelDrain("region", "kutch");
});
