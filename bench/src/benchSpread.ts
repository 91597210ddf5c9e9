import { invariant } from "@gypsumstage/shared/invariant";
import { sleep } from "@gypsumstage/shared/sleep";
import { applyAndWait } from "@gypsumstage/standins/deployment/applyAndWait";
import type { Deployment } from "@gypsumstage/standins/deployment/Deployment";
import type { DeploymentPlan } from "@gypsumstage/standins/deployment/DeploymentPlan";
import { postAdmin } from "@gypsumstage/standins/deployment/postAdmin";
import { startDeployment } from "@gypsumstage/standins/deployment/startDeployment";
import { waitFor } from "@gypsumstage/standins/deployment/waitFor";
import type { Bench } from "./Bench.js";
import { median } from "./median.js";

const INSTANCES_PER_DATA_CENTRE = [1, 2, 4, 8];
const DATA_CENTRE_COUNT = 4;
/** Second octet of the loopback addresses of the deployments. */
const NETWORK = 64;
const CHANGE_COUNT = 5;
const CHANGE_TIMEOUT_MS = 20_000;

const createPlan = (instancesPerDataCentre: number): DeploymentPlan => {
    const names = Array.from({ length: DATA_CENTRE_COUNT }, (_none, index) => `r${index % 2}-${index >> 1}`);
    const dataCentres = names.map(name => `[dataCentre ${name}]\nregion = ${name.slice(0, 2)}\n`);
    const places = names.flatMap(name =>
        Array.from(
            { length: instancesPerDataCentre },
            (_none, index) => `[place ${name}-${index + 1}]\ndataCentre = ${name}\n`,
        )
    );
    const serviceSections =
        "[service s]\n[class c]\nservice = s\nmethod = GET\npath = /c\nlatencyTarget = 100ms\ndeadline = 1s\nidempotent = yes\nlength = short\n";
    return {
        network: NETWORK,
        isProxied: false,
        regions: ["r0", "r1"].map(region => ({
            name: region,
            dataCentres: names.filter(name => name.startsWith(region)).map(name => ({
                name,
                instances: instancesPerDataCentre,
            })),
        })),
        services: [{ name: "s", endpoints: DATA_CENTRE_COUNT, behaviour: {} }],
        intent: [...dataCentres, ...places, serviceSections].join("\n"),
    };
};

const readGeneration = async (steer: string): Promise<number> =>
    ((await (await fetch(`http://${steer}/v1/intent`)).json()) as { readonly generation: number; })
        .generation;

const measureChange = async (deployment: Deployment, part: number): Promise<number> => {
    const [first] = deployment.instances;
    invariant(first, "process-failed");
    const res = await postAdmin(first.steer, "/v1/moves", { service: "s", from: "r0", to: "r1", part });
    const { generation } = res.body as { readonly generation: number; };
    const tookMs = await waitFor(async () => {
        const generations = await Promise.all(deployment.instances.map(each => readGeneration(each.steer)));
        return generations.every(each => each >= generation);
    }, CHANGE_TIMEOUT_MS);
    await postAdmin(first.steer, "/v1/moves/cancel", { service: "s", from: "r0" });
    return tookMs ?? CHANGE_TIMEOUT_MS;
};

/**
 * Measures how long an accepted change takes to reach every steer process when only two instances of each data centre
 * watch the platform, and how many watch requests are then pending at the platform.
 *
 * @returns the times, one row per number of instances
 */
export const benchSpread: Bench = async () => {
    const rows: {
        readonly instances: number;
        readonly watchesWaiting: number;
        readonly medianMs: number;
        readonly mostMs: number;
    }[] = [];
    for (const instancesPerDataCentre of INSTANCES_PER_DATA_CENTRE) {
        const deployment = await startDeployment(createPlan(instancesPerDataCentre));
        try {
            const [first] = deployment.instances;
            await applyAndWait(first?.steer ?? "", createPlan(instancesPerDataCentre).intent, 30);
            await sleep(5_000);
            const timesMs: number[] = [];
            for (let change = 0; change < CHANGE_COUNT; change++) {
                timesMs.push(await measureChange(deployment, (change + 1) / 10));
                await sleep(1_500);
            }
            rows.push({
                instances: deployment.instances.length,
                watchesWaiting: deployment.platform.countPendingWatches(),
                medianMs: Math.round(median(timesMs)),
                mostMs: Math.round(Math.max(...timesMs)),
            });
        }
        finally {
            await deployment.stop();
        }
    }
    return { rows, summary: { mostMs: Math.max(...rows.map(row => row.mostMs)) } };
};
