import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import type { Caller } from "../../caller/Caller.js";
import type { CallerRequest } from "../../caller/CallerRequest.js";
import { countOutcomes } from "../../caller/countOutcomes.js";
import { createCallers } from "../../caller/createCallers.js";
import type { LoadResult } from "../../caller/LoadResult.js";
import { runLoad } from "../../caller/runLoad.js";
import { createBoardPair } from "../../deployment/createBoardPair.js";
import type { Deployment } from "../../deployment/Deployment.js";
import { startServing } from "../../deployment/startServing.js";
import { collectExecutions } from "../../upstream/collectExecutions.js";

const NETWORK = 44;
const SERVICE_MS = 100;

let deployment: Deployment;
let callers: readonly Caller[];
before(async () => {
    const plan = createBoardPair(NETWORK, false);
    const services = plan.services.map(service => ({
        ...service,
        behaviour: { ...service.behaviour, shortMs: SERVICE_MS },
    }));
    deployment = await startServing({ ...plan, services });
    callers = createCallers(deployment);
});
after(async () => {
    await Promise.all(callers.map(caller => caller.stop()));
    await deployment.stop();
});

const check = (name: string) => (index: number): CallerRequest => ({
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

const assertHonest = (results: readonly LoadResult[]): void => {
    const executions = collectExecutions(deployment.upstreams);
    const lies = results.filter(result => result.outcome === "not-run" && executions.has(result.req.id));
    assert.deepEqual(lies.map(each => each.req.id), []);
    const foreign = results.filter(result =>
        result.outcome === "served"
        && (JSON.parse(result.body) as { readonly id: string; }).id !== result.req.id
    );
    assert.deepEqual(foreign, []);
};

test("load beyond all slots is refused, never queued at the endpoints, and the refusals are honest", async () => {
    const results = await runLoad(index => callers[index % 4] as Caller, {
        ratePerSecond: 700,
        durationMs: 4_000,
        make: check("over"),
    });
    const counts = countOutcomes(results);
    assert.deepEqual(Object.keys(counts).sort(), ["not-run", "served"], JSON.stringify(counts));
    assertWithinSlots();
    assertHonest(results);
});

test("a region that dies with all of its load moving overloads nobody", async () => {
    const load = runLoad(index => callers[index % 2] as Caller, {
        ratePerSecond: 400,
        durationMs: 9_000,
        make: check("death"),
    });
    const orphans = runLoad(index => callers[2 + index % 2] as Caller, {
        ratePerSecond: 100,
        durationMs: 9_000,
        make: check("orphan"),
    });
    await sleep(2_000);
    const dying = deployment.roles().filter(role => role.instance.region === "bharuch");
    dying.forEach(role => role.child.kill("SIGKILL"));
    await Promise.all(dying.map(role => role.ended));
    dying.forEach(role => deployment.mark(role.instance.name, { state: "gone" }));
    const results = [...await load, ...await orphans];
    assertWithinSlots();
    assertHonest(results);
    const late = results.filter(result => result.dueAtMs > 7_000);
    assert.deepEqual(
        Object.keys(countOutcomes(late)).sort(),
        ["not-run", "served"],
        JSON.stringify(countOutcomes(late)),
    );
});
