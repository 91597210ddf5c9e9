import type { IntentSections } from "@gypsumstage/domain/IntentSections";
import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { createTwoRegionPlan } from "../../deployment/createTwoRegionPlan.js";
import type { Deployment } from "../../deployment/Deployment.js";
import type { PlannedInstance } from "../../deployment/PlannedInstance.js";
import { postAdmin } from "../../deployment/postAdmin.js";
import { readStatus } from "../../deployment/readStatus.js";
import { startServing } from "../../deployment/startServing.js";
import { waitFor } from "../../deployment/waitFor.js";

const NETWORK = 41;
/** Target: an accepted change is in force on all instances within 7 s. */
const IN_FORCE_TIMEOUT_MS = 7_000;
const PLATFORM_HOST = `127.${NETWORK}.200.2`;

let deployment: Deployment;
before(async () => {
    deployment = await startServing(createTwoRegionPlan(NETWORK, true));
});
after(() => deployment.stop());

const getSteerAddress = (index: number): string => deployment.instances[index]?.steer ?? "";

const fetchIntent = async (
    index: number,
): Promise<{ readonly generation: number; readonly sections: IntentSections; }> =>
    await (await fetch(`http://${getSteerAddress(index)}/v1/intent`)).json() as {
        generation: number;
        sections: IntentSections;
    };

const postLinkCap = async (
    index: number,
    cap: string,
): Promise<{ readonly status: number; readonly body: unknown; }> => {
    const { generation, sections } = await fetchIntent(index);
    return postAdmin(getSteerAddress(index), "/v1/intent", {
        base: generation,
        sections: { ...sections, "link kutch>bharuch": { cap } },
    });
};

const isInForceEverywhere = async (
    generation: number,
    instances: readonly PlannedInstance[],
): Promise<boolean> => {
    for (const instance of instances) {
        const status = await readStatus(instance.steer);
        const instanceStatus = status?.dataCentres.flatMap(each => each.instances).find(each =>
            each.name === instance.name
        );
        if (instanceStatus?.verdict !== "in-force" || (instanceStatus.generation ?? 0) < generation) {
            return false;
        }
    }
    return true;
};

const waitUntilInForce = (
    generation: number,
    instances: readonly PlannedInstance[] = deployment.instances,
): Promise<number | undefined> =>
    waitFor(() => isInForceEverywhere(generation, instances), IN_FORCE_TIMEOUT_MS);

const getGeneration = (res: { readonly body: unknown; }): number =>
    (res.body as { readonly generation: number; }).generation;

test("of two operators' concurrent changes to one section one is accepted, the refusal of the other lists both", async () => {
    const { generation, sections } = await fetchIntent(0);
    const postWithBase = (index: number, cap: string) =>
        postAdmin(getSteerAddress(index), "/v1/intent", {
            base: generation,
            sections: { ...sections, "link kutch>bharuch": { cap } },
        });
    const responses = await Promise.all([postWithBase(0, "200Mbit/s"), postWithBase(2, "100Mbit/s")]);
    assert.deepEqual(responses.map(each => each.status).sort(), [200, 409]);
    const refused = responses.find(each => each.status === 409)?.body as {
        readonly error: { readonly theirs: unknown[]; readonly yours: unknown[]; };
    };
    assert.equal(refused.error.theirs.length, 1);
    assert.equal(refused.error.yours.length, 1);
    assert.notEqual(await waitUntilInForce(generation + 1), undefined);
});

test("two operators' concurrent changes to different sections are both in force", async () => {
    const { generation, sections } = await fetchIntent(0);
    const responses = await Promise.all([
        postAdmin(getSteerAddress(0), "/v1/intent", {
            base: generation,
            sections: { ...sections, "link kutch>bharuch": { cap: "150Mbit/s" } },
        }),
        postAdmin(getSteerAddress(2), "/v1/intent", {
            base: generation,
            sections: { ...sections, "link bharuch>kutch": { cap: "160Mbit/s" } },
        }),
    ]);
    assert.deepEqual(responses.map(each => each.status), [200, 200]);
    assert.notEqual(await waitUntilInForce(generation + 2), undefined);
    const merged = await fetchIntent(3);
    assert.equal(merged.sections["link kutch>bharuch"]?.["cap"], "18750kB/s");
    assert.equal(merged.sections["link bharuch>kutch"]?.["cap"], "20000kB/s");
});

test("a change whose response from the platform is lost is reported as accepted and in force", async () => {
    deployment.platform.setFaults({ isResponseLost: true });
    const res = await postLinkCap(0, "170Mbit/s");
    deployment.platform.setFaults({ isResponseLost: false });
    assert.equal(res.status, 200, JSON.stringify(res.body));
    assert.notEqual(await waitUntilInForce(getGeneration(res)), undefined);
});

test("while the platform is down no change is accepted and the configuration does not revert", async () => {
    const { generation } = await fetchIntent(0);
    deployment.platform.setFaults({ isDown: true });
    const res = await postLinkCap(0, "90Mbit/s");
    assert.equal(res.status, 503, JSON.stringify(res.body));
    deployment.platform.setFaults({ isDown: false });
    assert.equal((await fetchIntent(1)).generation, generation);
});

test("a platform outage right after acceptance does not delay the change", async () => {
    const accepted = await postLinkCap(0, "180Mbit/s");
    deployment.platform.setFaults({ isDown: true });
    const inForceAfterMs = await waitUntilInForce(getGeneration(accepted));
    deployment.platform.setFaults({ isDown: false });
    assert.notEqual(inForceAfterMs, undefined);
});

test("a data centre that cannot reach the platform receives an accepted change from its peers", async () => {
    const isolatedHost = deployment.instances[3]?.host;
    deployment.proxy?.setRule((from, to) => from === isolatedHost && to === PLATFORM_HOST ? "drop" : "pass");
    const accepted = await postLinkCap(0, "190Mbit/s");
    const inForceAfterMs = await waitUntilInForce(getGeneration(accepted));
    deployment.proxy?.setRule(() => "pass");
    assert.notEqual(inForceAfterMs, undefined);
});

test("an isolated region is reported as unknown, never as in force, and catches up after reconnecting", async () => {
    const kutchInstances = deployment.instances.slice(0, 2);
    const isBharuch = (host: string): boolean =>
        host.startsWith(`127.${NETWORK}.3.`) || host.startsWith(`127.${NETWORK}.4.`);
    const isKutch = (host: string): boolean =>
        host.startsWith(`127.${NETWORK}.1.`) || host.startsWith(`127.${NETWORK}.2.`);
    const isOutbound = (from: string, to: string): boolean =>
        isBharuch(from) && (isKutch(to) || to === PLATFORM_HOST);
    deployment.proxy?.setRule((from, to) => isOutbound(from, to) || isOutbound(to, from) ? "drop" : "pass");
    await sleep(5_000);
    const accepted = await postLinkCap(0, "200Mbit/s");
    assert.notEqual(await waitUntilInForce(getGeneration(accepted), kutchInstances), undefined);
    let status = await readStatus(getSteerAddress(0));
    await waitFor(async () => {
        status = await readStatus(getSteerAddress(0));
        return status?.dataCentres.every(each => each.verdict !== "behind") === true;
    }, IN_FORCE_TIMEOUT_MS);
    const verdicts = status?.dataCentres.map(each => `${each.region} ${each.verdict}`);
    assert.deepEqual(verdicts, ["kutch in-force", "kutch in-force", "bharuch unknown", "bharuch unknown"]);
    assert.equal(status?.verdict, "unknown");
    deployment.proxy?.setRule(() => "pass");
    assert.notEqual(await waitUntilInForce(getGeneration(accepted)), undefined);
});

test("after the platform is restored from an older backup the newer configuration is written back", async () => {
    const saved = deployment.platform.save();
    const accepted = await postLinkCap(0, "210Mbit/s");
    assert.notEqual(await waitUntilInForce(getGeneration(accepted)), undefined);
    deployment.platform.restore(saved);
    await sleep(2_000);
    for (const index of [0, 1, 2, 3]) {
        const intent = await fetchIntent(index);
        assert.equal(intent.generation, getGeneration(accepted));
        assert.equal(intent.sections["link kutch>bharuch"]?.["cap"], "26250kB/s");
    }
    const head = deployment.platform.save().get("config/head")?.value as { readonly generation: number; };
    assert.equal(head.generation, getGeneration(accepted));
});

test("a steer process restarted without platform and peers gets the configuration from its own roles", async () => {
    const { generation } = await fetchIntent(0);
    deployment.platform.setFaults({ isDown: true });
    const isolatedHost = deployment.instances[3]?.host;
    deployment.proxy?.setRule((from, to) =>
        from !== to && (from === isolatedHost || to === isolatedHost) ? "drop" : "pass"
    );
    const name = deployment.instances[3]?.name ?? "";
    deployment.findRole(name, "steer").child.kill("SIGKILL");
    await deployment.findRole(name, "steer").exited;
    deployment.restart(name, "steer");
    const listenAddress = deployment.instances[3]?.steer.replace(":8090", ":9090") ?? "";
    const inForceAfterMs = await waitFor(async () => {
        const status = await readStatus(listenAddress);
        return status?.accepted === generation;
    }, IN_FORCE_TIMEOUT_MS);
    deployment.proxy?.setRule(() => "pass");
    deployment.platform.setFaults({ isDown: false });
    assert.notEqual(inForceAfterMs, undefined);
});
