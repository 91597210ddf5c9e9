import type { IntentSections } from "@gypsumstage/domain/IntentSections";
import { sleep } from "@gypsumstage/shared/sleep";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { createBoardPair } from "../../deployment/createBoardPair.js";
import type { Deployment } from "../../deployment/Deployment.js";
import type { PlannedInstance } from "../../deployment/PlannedInstance.js";
import { postAdmin } from "../../deployment/postAdmin.js";
import { readStatus } from "../../deployment/readStatus.js";
import { startServing } from "../../deployment/startServing.js";
import { waitFor } from "../../deployment/waitFor.js";

const NETWORK = 41;
/** The target: in force everywhere within 7 s. */
const IN_FORCE_MS = 7_000;
const PLATFORM_HOST = `127.${NETWORK}.200.2`;

let deployment: Deployment;
before(async () => {
    deployment = await startServing(createBoardPair(NETWORK, true));
});
after(() => deployment.stop());

const steerOf = (index: number): string => deployment.instances[index]?.steer ?? "";

const readIntentOf = async (
    index: number,
): Promise<{ readonly generation: number; readonly sections: IntentSections; }> =>
    await (await fetch(`http://${steerOf(index)}/v1/intent`)).json() as {
        generation: number;
        sections: IntentSections;
    };

const changeCap = async (
    index: number,
    cap: string,
): Promise<{ readonly status: number; readonly answer: unknown; }> => {
    const { generation, sections } = await readIntentOf(index);
    return postAdmin(steerOf(index), "/v1/intent", {
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
        const own = status?.dataCentres.flatMap(each => each.instances).find(each =>
            each.name === instance.name
        );
        if (own?.verdict !== "in-force" || (own.generation ?? 0) < generation) {
            return false;
        }
    }
    return true;
};

const waitInForce = (
    generation: number,
    instances: readonly PlannedInstance[] = deployment.instances,
): Promise<number | undefined> => waitFor(() => isInForceEverywhere(generation, instances), IN_FORCE_MS);

const generationOf = (res: { readonly answer: unknown; }): number =>
    (res.answer as { readonly generation: number; }).generation;

test("two operators at the same moment: one change of a thing is accepted, the other sees both", async () => {
    const { generation, sections } = await readIntentOf(0);
    const send = (index: number, cap: string) =>
        postAdmin(steerOf(index), "/v1/intent", {
            base: generation,
            sections: { ...sections, "link kutch>bharuch": { cap } },
        });
    const both = await Promise.all([send(0, "200Mbit/s"), send(2, "100Mbit/s")]);
    assert.deepEqual(both.map(each => each.status).sort(), [200, 409]);
    const refused = both.find(each => each.status === 409)?.answer as {
        readonly error: { readonly theirs: unknown[]; readonly yours: unknown[]; };
    };
    assert.equal(refused.error.theirs.length, 1);
    assert.equal(refused.error.yours.length, 1);
    assert.notEqual(await waitInForce(generation + 1), undefined);
});

test("two operators at the same moment: changes of different things are both in force", async () => {
    const { generation, sections } = await readIntentOf(0);
    const both = await Promise.all([
        postAdmin(steerOf(0), "/v1/intent", {
            base: generation,
            sections: { ...sections, "link kutch>bharuch": { cap: "150Mbit/s" } },
        }),
        postAdmin(steerOf(2), "/v1/intent", {
            base: generation,
            sections: { ...sections, "link bharuch>kutch": { cap: "160Mbit/s" } },
        }),
    ]);
    assert.deepEqual(both.map(each => each.status), [200, 200]);
    assert.notEqual(await waitInForce(generation + 2), undefined);
    const after = await readIntentOf(3);
    assert.equal(after.sections["link kutch>bharuch"]?.["cap"], "18750kB/s");
    assert.equal(after.sections["link bharuch>kutch"]?.["cap"], "20000kB/s");
});

test("a lost answer of the accepting write is told as what it was, and the change is in force", async () => {
    deployment.platform.setFaults({ losesAnswers: true });
    const res = await changeCap(0, "170Mbit/s");
    deployment.platform.setFaults({ losesAnswers: false });
    assert.equal(res.status, 200, JSON.stringify(res.answer));
    assert.notEqual(await waitInForce(generationOf(res)), undefined);
});

test("while the platform is down nothing is accepted and nothing reverts", async () => {
    const { generation } = await readIntentOf(0);
    deployment.platform.setFaults({ isDown: true });
    const res = await changeCap(0, "90Mbit/s");
    assert.equal(res.status, 503, JSON.stringify(res.answer));
    deployment.platform.setFaults({ isDown: false });
    assert.equal((await readIntentOf(1)).generation, generation);
});

test("an outage of the platform right after acceptance does not hold the change up", async () => {
    const accepted = await changeCap(0, "180Mbit/s");
    deployment.platform.setFaults({ isDown: true });
    const took = await waitInForce(generationOf(accepted));
    deployment.platform.setFaults({ isDown: false });
    assert.notEqual(took, undefined);
});

test("a data centre cut off from the platform gets the change from its peers", async () => {
    const cutOff = deployment.instances[3]?.host;
    deployment.proxy?.setRule((from, to) => from === cutOff && to === PLATFORM_HOST ? "drop" : "pass");
    const accepted = await changeCap(0, "190Mbit/s");
    const took = await waitInForce(generationOf(accepted));
    deployment.proxy?.setRule(() => "pass");
    assert.notEqual(took, undefined);
});

test("a region cut off from everything is told as unknown, never as in force, and catches up", async () => {
    const others = deployment.instances.slice(0, 2);
    const isBharuch = (host: string): boolean =>
        host.startsWith(`127.${NETWORK}.3.`) || host.startsWith(`127.${NETWORK}.4.`);
    const isKutch = (host: string): boolean =>
        host.startsWith(`127.${NETWORK}.1.`) || host.startsWith(`127.${NETWORK}.2.`);
    const crosses = (from: string, to: string): boolean =>
        isBharuch(from) && (isKutch(to) || to === PLATFORM_HOST);
    deployment.proxy?.setRule((from, to) => crosses(from, to) || crosses(to, from) ? "drop" : "pass");
    await sleep(5_000);
    const accepted = await changeCap(0, "200Mbit/s");
    assert.notEqual(await waitInForce(generationOf(accepted), others), undefined);
    let status = await readStatus(steerOf(0));
    await waitFor(async () => {
        status = await readStatus(steerOf(0));
        return status?.dataCentres.every(each => each.verdict !== "behind") === true;
    }, IN_FORCE_MS);
    const verdicts = status?.dataCentres.map(each => `${each.region} ${each.verdict}`);
    assert.deepEqual(verdicts, ["kutch in-force", "kutch in-force", "bharuch unknown", "bharuch unknown"]);
    assert.equal(status?.verdict, "unknown");
    deployment.proxy?.setRule(() => "pass");
    assert.notEqual(await waitInForce(generationOf(accepted)), undefined);
});

test("a platform that comes back with an older version gets the later one back", async () => {
    const saved = deployment.platform.save();
    const accepted = await changeCap(0, "210Mbit/s");
    assert.notEqual(await waitInForce(generationOf(accepted)), undefined);
    deployment.platform.restore(saved);
    await sleep(2_000);
    for (const index of [0, 1, 2, 3]) {
        const held = await readIntentOf(index);
        assert.equal(held.generation, generationOf(accepted));
        assert.equal(held.sections["link kutch>bharuch"]?.["cap"], "26250kB/s");
    }
    const head = deployment.platform.save().get("config/head")?.value as { readonly generation: number; };
    assert.equal(head.generation, generationOf(accepted));
});

test("a steer process restarted while the platform is down takes the configuration from its own roles", async () => {
    const { generation } = await readIntentOf(0);
    deployment.platform.setFaults({ isDown: true });
    const isolated = deployment.instances[3]?.host;
    deployment.proxy?.setRule((from, to) =>
        from !== to && (from === isolated || to === isolated) ? "drop" : "pass"
    );
    const name = deployment.instances[3]?.name ?? "";
    deployment.find(name, "steer").child.kill("SIGKILL");
    await deployment.find(name, "steer").ended;
    deployment.restart(name, "steer");
    const listening = deployment.instances[3]?.steer.replace(":8090", ":9090") ?? "";
    const took = await waitFor(async () => {
        const status = await readStatus(listening);
        return status?.accepted === generation;
    }, IN_FORCE_MS);
    deployment.proxy?.setRule(() => "pass");
    deployment.platform.setFaults({ isDown: false });
    assert.notEqual(took, undefined);
});
