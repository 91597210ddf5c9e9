import { formatIni } from "@gypsumstage/domain/formatIni";
import { parseIni } from "@gypsumstage/shared/parseIni";
import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import type { Caller } from "../../caller/Caller.js";
import type { CallerRequest } from "../../caller/CallerRequest.js";
import { countOutcomes } from "../../caller/countOutcomes.js";
import { createCallers } from "../../caller/createCallers.js";
import { runLoad } from "../../caller/runLoad.js";
import { createTwoRegionPlan } from "../../deployment/createTwoRegionPlan.js";
import type { Deployment } from "../../deployment/Deployment.js";
import { postAdmin } from "../../deployment/postAdmin.js";
import { startServing } from "../../deployment/startServing.js";
import { findMaxBytesPerSecond } from "../../proxy/findMaxBytesPerSecond.js";

const NETWORK = 45;
const LINK_CAP_BYTES_PER_SECOND = 2_000_000;
const CLASS_CAP_IN_FLIGHT = 4;
const UPLOAD_BODY = Buffer.alloc(100_000, "x");

let deployment: Deployment;
let callers: readonly Caller[];
before(async () => {
    const plan = createTwoRegionPlan(NETWORK, true);
    const sections = {
        ...parseIni(plan.intent),
        "link kutch>bharuch": { cap: `${LINK_CAP_BYTES_PER_SECOND / 1_000}kB/s` },
        "link bharuch>kutch": { cap: `${LINK_CAP_BYTES_PER_SECOND / 1_000}kB/s` },
        "cap ledger-read@kutch": { inFlight: String(CLASS_CAP_IN_FLIGHT) },
        "cap survey-photograph@kutch": { inFlight: "100" },
        "cap survey-photograph@bharuch": { inFlight: "100" },
    };
    const services = plan.services.map(service => ({
        ...service,
        behaviour: { ...service.behaviour, longMs: 20 },
    }));
    deployment = await startServing({ ...plan, services, intent: formatIni(sections) });
    callers = createCallers(deployment);
});
after(async () => {
    await Promise.all(callers.map(caller => caller.stop()));
    await deployment.stop();
});

const isKutch = (host: string): boolean => /^127\.\d+\.[12]\./.test(host);
const isBharuch = (host: string): boolean => /^127\.\d+\.[34]\./.test(host);

const createUpload = (name: string) => (index: number): CallerRequest => ({
    service: "document-intake",
    method: "POST",
    path: "/photographs",
    id: `${name}-${index}`,
    isKeyed: true,
    body: UPLOAD_BODY,
    timeoutMs: 60_000,
});

const assertLinksWithinCap = (): void => {
    const byteCounts = deployment.proxy?.byteCounts() ?? [];
    const bharuchToKutchBytesPerSecond = findMaxBytesPerSecond(
        byteCounts,
        (from, to) => isBharuch(from) && isKutch(to),
    );
    const kutchToBharuchBytesPerSecond = findMaxBytesPerSecond(
        byteCounts,
        (from, to) => isKutch(from) && isBharuch(to),
    );
    process.stderr.write(
        `bytes per second at most: ${bharuchToKutchBytesPerSecond}, ${kutchToBharuchBytesPerSecond}; cap ${LINK_CAP_BYTES_PER_SECOND}\n`,
    );
    assert.ok(
        bharuchToKutchBytesPerSecond <= LINK_CAP_BYTES_PER_SECOND,
        `bharuch>kutch ${bharuchToKutchBytesPerSecond}`,
    );
    assert.ok(
        kutchToBharuchBytesPerSecond <= LINK_CAP_BYTES_PER_SECOND,
        `kutch>bharuch ${kutchToBharuchBytesPerSecond}`,
    );
    assert.ok(bharuchToKutchBytesPerSecond > 0, "no bytes were sent from bharuch to kutch");
};

const getBharuchCaller = (index: number): Caller => callers[2 + index % 2] as Caller;

test("uploads of a region whose endpoints are drained cross the link within its cap", async () => {
    const steer = deployment.instances[0]?.steer ?? "";
    // Only the endpoints are drained: the region's entries still accept uploads and send all of them over the link.
    for (const upstream of deployment.upstreams.filter(each => /^document-intake-[3478]$/.test(each.name))) {
        const res = await postAdmin(steer, "/v1/drains", { scope: "endpoint", name: upstream.name });
        assert.equal(res.status, 200, JSON.stringify(res.body));
    }
    await sleep(2_000);
    const results = await runLoad(getBharuchCaller, {
        ratePerSecond: 25,
        durationMs: 8_000,
        createRequest: createUpload("drained"),
    });
    assertLinksWithinCap();
    assert.ok((countOutcomes(results)["served"] ?? 0) > 0, JSON.stringify(countOutcomes(results)));
});

test("the link cap holds during a platform outage and while an instance is paused and resumes", async () => {
    const load = runLoad(getBharuchCaller, {
        ratePerSecond: 25,
        durationMs: 14_000,
        createRequest: createUpload("outage"),
    });
    await sleep(2_000);
    deployment.platform.setFaults({ isDown: true });
    await sleep(2_000);
    const paused = deployment.roles().filter(role => role.instance.name === "bharuch-a-1");
    paused.forEach(role => role.child.kill("SIGSTOP"));
    await sleep(5_500);
    deployment.platform.setFaults({ isDown: false });
    await sleep(1_000);
    paused.forEach(role => role.child.kill("SIGCONT"));
    await load;
    assertLinksWithinCap();
});

test("the in-flight cap of a class in a region also holds when another region sends requests there", async () => {
    const createRead = (index: number): CallerRequest => ({
        service: "booking-ledger",
        method: "GET",
        path: `/ledger/${index}`,
        id: `read-${index}`,
    });
    deployment.upstreams.forEach(upstream => upstream.setBehaviour({ shortMs: 100 }));
    let maxInFlight = 0;
    const timer = setInterval(() => {
        const kutchUpstreams = deployment.upstreams.filter(each => /^booking-ledger-[1256]$/.test(each.name));
        maxInFlight = Math.max(
            maxInFlight,
            kutchUpstreams.reduce((sum, each) => sum + each.record().inFlight, 0),
        );
    }, 5);
    const results = await runLoad(index => callers[index % 4] as Caller, {
        ratePerSecond: 150,
        durationMs: 4_000,
        createRequest: createRead,
    });
    clearInterval(timer);
    assert.ok(maxInFlight <= CLASS_CAP_IN_FLIGHT, `${maxInFlight} in flight`);
    assert.ok(maxInFlight >= CLASS_CAP_IN_FLIGHT / 2, `only ${maxInFlight} in flight`);
    assert.ok((countOutcomes(results)["served"] ?? 0) > 0);
});
