import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import type { Caller } from "../../caller/Caller.js";
import type { CallerRequest } from "../../caller/CallerRequest.js";
import { countOutcomes } from "../../caller/countOutcomes.js";
import { createCallers } from "../../caller/createCallers.js";
import type { LoadResult } from "../../caller/LoadResult.js";
import { runLoad } from "../../caller/runLoad.js";
import { createTwoRegionPlan } from "../../deployment/createTwoRegionPlan.js";
import type { Deployment } from "../../deployment/Deployment.js";
import { startServing } from "../../deployment/startServing.js";
import { collectExecutions } from "../../upstream/collectExecutions.js";

const NETWORK = 44;
const SERVICE_TIME_MS = 100;

let deployment: Deployment;
let callers: readonly Caller[];
before(async () => {
    const plan = createTwoRegionPlan(NETWORK, false);
    const services = plan.services.map(service => ({
        ...service,
        behaviour: { ...service.behaviour, shortMs: SERVICE_TIME_MS },
    }));
    deployment = await startServing({ ...plan, services });
    callers = createCallers(deployment);
});
after(async () => {
    await Promise.all(callers.map(caller => caller.stop()));
    await deployment.stop();
});

const createSlotCheck = (name: string) => (index: number): CallerRequest => ({
    service: "berth-desk",
    method: "GET",
    path: `/berths/${index}`,
    id: `${name}-${index}`,
});

const assertWithinSlots = (): void => {
    for (const upstream of deployment.upstreams) {
        const { maxInFlight } = upstream.record();
        assert.ok(maxInFlight <= 5, `${upstream.name}: ${maxInFlight} in flight`);
    }
};

const assertOutcomesMatchExecutions = (results: readonly LoadResult[]): void => {
    const executions = collectExecutions(deployment.upstreams);
    const executedNotRun = results.filter(result =>
        result.outcome === "not-run" && executions.has(result.req.id)
    );
    assert.deepEqual(executedNotRun.map(each => each.req.id), []);
    const mismatched = results.filter(result =>
        result.outcome === "served"
        && (JSON.parse(result.body) as { readonly id: string; }).id !== result.req.id
    );
    assert.deepEqual(mismatched, []);
};

test("load beyond all slots is refused, never queued at the endpoints, and the refusals are honest", async () => {
    const results = await runLoad(index => callers[index % 4] as Caller, {
        ratePerSecond: 700,
        durationMs: 4_000,
        createRequest: createSlotCheck("over"),
    });
    const counts = countOutcomes(results);
    assert.deepEqual(Object.keys(counts).sort(), ["not-run", "served"], JSON.stringify(counts));
    assertWithinSlots();
    assertOutcomesMatchExecutions(results);
});

test("when a region fails and all of its load moves no endpoint runs more requests than it has slots", async () => {
    const kutchLoad = runLoad(index => callers[index % 2] as Caller, {
        ratePerSecond: 400,
        durationMs: 9_000,
        createRequest: createSlotCheck("kutch"),
    });
    const bharuchLoad = runLoad(index => callers[2 + index % 2] as Caller, {
        ratePerSecond: 100,
        durationMs: 9_000,
        createRequest: createSlotCheck("bharuch"),
    });
    await sleep(2_000);
    const killedRoles = deployment.roles().filter(role => role.instance.region === "bharuch");
    killedRoles.forEach(role => role.child.kill("SIGKILL"));
    await Promise.all(killedRoles.map(role => role.exited));
    killedRoles.forEach(role => deployment.updateMember(role.instance.name, { state: "gone" }));
    const results = [...await kutchLoad, ...await bharuchLoad];
    assertWithinSlots();
    assertOutcomesMatchExecutions(results);
    const lateResults = results.filter(result => result.dueAfterMs > 7_000);
    assert.deepEqual(
        Object.keys(countOutcomes(lateResults)).sort(),
        ["not-run", "served"],
        JSON.stringify(countOutcomes(lateResults)),
    );
});
